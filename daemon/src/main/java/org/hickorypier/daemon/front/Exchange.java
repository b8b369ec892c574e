package org.hickorypier.daemon.front;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/**
 * One request of a caller, from its head to its answer.
 *
 * <p>Invariant: it ends once, with an answer or with its connection. Belongs to the traffic thread.
 */
final class Exchange {

  private final HttpServerRequest request;
  private final CallerConnection connection;
  private final Buffer body = Buffer.buffer();
  private final long bodyDeadlineMillis;
  private boolean isBodyComplete;
  private boolean isEnded;
  private boolean submission;

  /**
   * Begins an exchange.
   *
   * @param request the request, of which the head is known
   * @param connection the connection that it came on
   * @param readUntil when its body has to be here, by the timers' clock, in milliseconds
   */
  Exchange(HttpServerRequest request, CallerConnection connection, long readUntil) {
    this.request = request;
    this.connection = connection;
    this.bodyDeadlineMillis = readUntil;
  }

  HttpServerRequest request() {
    return request;
  }

  CallerConnection connection() {
    return connection;
  }

  Buffer body() {
    return body;
  }

  /** Takes notice that the body has ended. */
  void markBodyComplete() {
    isBodyComplete = true;
  }

  /** Tells whether the whole request is here, so that its outcome may be unknown. */
  boolean isBodyComplete() {
    return isBodyComplete;
  }

  /** Tells whether the body is late. */
  boolean isBodyOverdue(long nowMillis) {
    return !isBodyComplete && nowMillis >= bodyDeadlineMillis;
  }

  /** Takes notice that it hands a submission in, which may be taken without an answer. */
  void markSubmission() {
    submission = true;
  }

  boolean isSubmission() {
    return submission;
  }

  /**
   * Ends the exchange.
   *
   * @return false if it had ended before
   */
  boolean end() {
    boolean first = !isEnded;
    isEnded = true;
    return first;
  }

  boolean isEnded() {
    return isEnded;
  }

  /** Writes the answer. */
  Future<Void> writeAnswer(int status, String text) {
    if (request.response().closed()) {
      return Future.succeededFuture();
    }
    return request
        .response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .end(text);
  }
}
