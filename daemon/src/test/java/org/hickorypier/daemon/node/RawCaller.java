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
  private final StringBuffer answers = new StringBuffer();
  private final Promise<Void> closed = Promise.promise();

  RawCaller(NetSocket socket) {
    this.socket = socket;
    socket.handler(bytes -> answers.append(bytes.toString(StandardCharsets.UTF_8)));
    socket.closeHandler(closed::tryComplete);
    socket.exceptionHandler(error -> closed.tryComplete());
  }

  RawCaller write(String text) {
    socket.write(text);
    return this;
  }

  /** Sends a whole request for a queue that nobody has, which any instance answers by itself. */
  RawCaller askNowhere() {
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

  int answerCount() {
    return answerCount("");
  }

  /** Returns how many answers with a status were read. */
  int answerCount(String status) {
    return answers().split("HTTP/1.1 " + status, -1).length - 1;
  }

  /** Returns all that was read, answer after answer. */
  String answers() {
    return answers.toString();
  }

  boolean answered() {
    return answers.length() > 0;
  }

  boolean closed() {
    return closed.future().isComplete();
  }

  void awaitClosed() throws InterruptedException, ExecutionException, TimeoutException {
    SmallCluster.await(closed.future());
  }
}
