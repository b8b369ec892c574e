package org.hickorypier.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TrafficStopTest {

  /** More than the buffers of both ends hold, so most of it is still in the daemon. */
  private static final int ANSWER_BYTES = 48 * 1024 * 1024;

  private static final Duration LIMIT = Duration.ofSeconds(20);

  // The caller gets the whole of a large answer although it reads slowly and the daemon shuts down
  // meanwhile. The work is done and the answer handed to the connection; then the shutdown begins,
  // and only after that the caller reads on.
  @Test
  void answersInProgressAreNotCut() throws IOException, InterruptedException {
    Vertx vertx = Vertx.vertx();
    HttpServer server = listen(vertx);
    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.actualPort())) {
      caller.getOutputStream().write(request());
      InputStream answer = caller.getInputStream();
      assertThat(answer.read()).isEqualTo('H');
      Thread shutdown = new Thread(() -> new TrafficStop(vertx, Optional.of(server)).stop(LIMIT));
      shutdown.start();
      awaitRefusal(server.actualPort());

      assertThat(answer.readAllBytes()).hasSizeGreaterThan(ANSWER_BYTES);
      shutdown.join();
    }
  }

  private static HttpServer listen(Vertx vertx) {
    return vertx
        .createHttpServer()
        .requestHandler(request -> request.response().end(Buffer.buffer(new byte[ANSWER_BYTES])))
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .join();
  }

  /** Returns once the server takes no new connections, which is the first step of its shutdown. */
  private static void awaitRefusal(int port) {
    boolean refused = false;
    while (!refused) {
      try (Socket probe = new Socket(InetAddress.getLoopbackAddress(), port)) {
        refused = !probe.isConnected();
      } catch (IOException error) {
        refused = true;
      }
    }
  }

  private static byte[] request() {
    return "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        .getBytes(StandardCharsets.US_ASCII);
  }
}
