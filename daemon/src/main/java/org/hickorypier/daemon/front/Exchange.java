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
  private final long readUntil;
  private boolean whole;
  private boolean ended;
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
    this.readUntil = readUntil;
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
  void bodyEnded() {
    whole = true;
  }

  /** Tells whether the whole request is here, so that its outcome may be unknown. */
  boolean whole() {
    return whole;
  }

  /** Tells whether the body is late. */
  boolean stalled(long nowMillis) {
    return !whole && nowMillis >= readUntil;
  }

  /** Takes notice that it hands a submission in, which may be taken without an answer. */
  void asksToSubmit() {
    submission = true;
  }

  boolean submits() {
    return submission;
  }

  /**
   * Ends the exchange.
   *
   * @return false if it had ended before
   */
  boolean end() {
    boolean first = !ended;
    ended = true;
    return first;
  }

  boolean ended() {
    return ended;
  }

  /** Writes the answer. */
  Future<Void> write(int status, String text) {
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
