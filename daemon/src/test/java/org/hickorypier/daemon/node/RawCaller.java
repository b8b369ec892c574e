package org.hickorypier.daemon.node;

import io.vertx.core.Promise;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;

/**
 * A caller that writes its requests byte by byte as a test says, so that it can stop in the middle.
 *
 * <p>What it has read may be asked from any thread.
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

  /** Sends a whole request for a queue that nobody has, which any instance answers by itself. */
  RawCaller requestUnknownQueue() {
    return write("GET /nowhere/ HTTP/1.1\r\nHost: nowhere\r\n\r\n");
  }

  /** Hands a submission of one task in, as one whole request. */
  RawCaller submit(String id) {
    String body = "{\"Spec\":\"text\",\"Phases\":[{\"Count\":1,\"Cpu\":10,\"MemMb\":1}]}";
    return write(head("POST", id) + "Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Begins a request up to its body. */
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

  /** Returns how many answers with a status were read. */
  int responseCount(String status) {
    return receivedText().split("HTTP/1.1 " + status, -1).length - 1;
  }

  /** Returns all that was read, answer after answer. */
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
