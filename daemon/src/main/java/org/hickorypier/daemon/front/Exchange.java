package org.hickorypier.daemon.front;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/**
 * A caller's request and its answer.
 *
 * <p>Invariants: an exchange ends once, with its answer or with its connection; it holds no body
 * afterwards. Confined to the traffic thread.
 */
final class Exchange {

  private final HttpServerRequest request;
  private final CallerConnection connection;
  private Buffer body = Buffer.buffer();
  private final long bodyDeadlineMillis;
  private boolean bodyComplete;
  private boolean ended;
  private boolean submission;

  /**
   * Creates an exchange.
   *
   * @param request the request, whose head has been read
   * @param connection the connection on which the request arrived
   * @param bodyDeadlineMillis when the body has to be complete, in milliseconds of the timer
   *     service's clock
   */
  Exchange(HttpServerRequest request, CallerConnection connection, long bodyDeadlineMillis) {
    this.request = request;
    this.connection = connection;
    this.bodyDeadlineMillis = bodyDeadlineMillis;
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

  /** Drops the body, once it is decoded or not needed. */
  void dropBody() {
    body = Buffer.buffer(0);
  }

  void markBodyComplete() {
    bodyComplete = true;
  }

  /** Returns whether the whole request was read; only then can its outcome be unknown. */
  boolean isBodyComplete() {
    return bodyComplete;
  }

  /** Returns whether the body is incomplete after its deadline. */
  boolean isBodyOverdue(long nowMillis) {
    return !bodyComplete && nowMillis >= bodyDeadlineMillis;
  }

  /** Marks the request as a submission, which may be accepted even if no reply arrives. */
  void markSubmission() {
    submission = true;
  }

  boolean isSubmission() {
    return submission;
  }

  /**
   * Ends the exchange.
   *
   * @return false if it had already ended
   */
  boolean end() {
    boolean first = !ended;
    ended = true;
    dropBody();
    return first;
  }

  boolean isEnded() {
    return ended;
  }

  /** Writes the answer; does nothing if the response is already closed. */
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
