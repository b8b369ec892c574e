package org.hickorypier.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class HttpFrontTest {

  /** More than the buffers of both ends hold, so most of it is still in the daemon. */
  private static final int ANSWER_BYTES = 48 * 1024 * 1024;

  private static final Duration LIMIT = Duration.ofSeconds(20);

  private static final byte[] REQUEST =
      "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final Vertx vertx = Vertx.vertx();
  private final HttpFront front = new HttpFront(vertx);

  // The caller gets the whole of a large answer although it reads slowly and the daemon shuts down
  // meanwhile. The work is done and the answer handed to the connection; then the shutdown begins,
  // and only after that the caller reads on.
  @Test
  void answersInProgressAreNotCut() throws Exception {
    int port = listen();
    try (Socket caller = connect(port)) {
      caller.getOutputStream().write(REQUEST);
      InputStream answer = caller.getInputStream();
      assertThat(answer.read()).isEqualTo('H');
      Thread shutdown = new Thread(() -> front.stop(LIMIT));
      shutdown.start();
      awaitRefusal(port);

      assertThat(answer.readAllBytes()).hasSizeGreaterThan(ANSWER_BYTES);
      shutdown.join();
    }
  }

  // The daemon ends at once although a balancer holds a connection on which it never asked
  // anything. With a limit far longer than any test may take, this test would not end otherwise.
  @Test
  @Timeout(60)
  void connectionsWithoutRequestsDoNotHoldUpTheShutdown() throws Exception {
    int port = listen();
    try (Socket unused = connect(port);
        Socket caller = connect(port)) {
      caller.getOutputStream().write(REQUEST);
      assertThat(caller.getInputStream().readAllBytes()).hasSizeGreaterThan(ANSWER_BYTES);

      front.stop(Duration.ofHours(1));

      assertThat(unused.getInputStream().read()).isEqualTo(-1);
    }
  }

  private int listen() throws DaemonStartException {
    return front.listen(
        request -> request.response().end(Buffer.buffer(new byte[ANSWER_BYTES])), "127.0.0.1", 0);
  }

  private static Socket connect(int port) throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), port);
  }

  /** Returns once the server takes no new connections, which is the first step of its shutdown. */
  private static void awaitRefusal(int port) {
    boolean refused = false;
    while (!refused) {
      try (Socket probe = connect(port)) {
        refused = !probe.isConnected();
      } catch (IOException error) {
        refused = true;
      }
    }
  }
}
