package org.hickorypier.daemon.node;

import io.vertx.core.Promise;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;

/**
 * An HTTP client for tests that writes raw request text, so that it can stop in the middle of a
 * request.
 *
 * <p>What it has received may be read from any thread.
 */
final class RawCaller {

  private final NetSocket socket;
  private final StringBuffer receivedText = new StringBuffer();
  private final Promise<Void> socketClosed = Promise.promise();

  RawCaller(NetSocket socket) {
    this.socket = socket;
    socket.handler(bytes -> receivedText.append(bytes.toString(StandardCharsets.UTF_8)));
    socket.closeHandler(socketClosed::tryComplete);
    socket.exceptionHandler(error -> socketClosed.tryComplete());
  }

  RawCaller write(String text) {
    socket.write(text);
    return this;
  }

  /** Sends a complete request for an unknown queue, which every instance answers itself. */
  RawCaller requestUnknownQueue() {
    return write("GET /nowhere/ HTTP/1.1\r\nHost: nowhere\r\n\r\n");
  }

  /** Submits one task in a single complete request. */
  RawCaller submit(String id) {
    String body = "{\"Spec\":\"text\",\"Phases\":[{\"Count\":1,\"Cpu\":10,\"MemMb\":1}]}";
    return write(head("POST", id) + "Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Returns the start of a request: the request line and the headers common to all requests. */
  static String head(String method, String id) {
    return method
        + " "
        + SmallCluster.PREFIX
        + id
        + " HTTP/1.1\r\nHost: "
        + SmallCluster.HOST
        + "\r\nAuthorization: Bearer "
        + SmallCluster.KEY
        + "\r\n";
  }

  int responseCount() {
    return responseCount("");
  }

  /** Returns the number of responses received whose status starts with the given text. */
  int responseCount(String status) {
    return receivedText().split("HTTP/1.1 " + status, -1).length - 1;
  }

  /** Returns the text of all responses received so far. */
  String receivedText() {
    return receivedText.toString();
  }

  boolean hasResponse() {
    return receivedText.length() > 0;
  }

  boolean isClosed() {
    return socketClosed.future().isComplete();
  }

  void awaitClosed() throws InterruptedException, ExecutionException, TimeoutException {
    SmallCluster.await(socketClosed.future());
  }
}
