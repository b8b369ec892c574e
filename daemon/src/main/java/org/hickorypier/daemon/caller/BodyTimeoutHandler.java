package org.hickorypier.daemon.caller;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;

/**
 * Closes the connection of a caller that does not finish sending its body in time.
 *
 * <p>A caller that stops half-way through its body would hold its buffer forever, and many such
 * callers would exhaust the memory. The limits on the size of a body and on the time to send it
 * together bound the memory that they can hold. Only the sending is timed: a caller may wait for
 * its response for any time.
 *
 * <p>Thread-safe.
 */
public final class BodyTimeoutHandler implements Handler<RoutingContext> {

  private static final int STATUS_REQUEST_TIMEOUT = 408;

  private final long bodyTimeoutMillis;

  /**
   * Creates a handler.
   *
   * @param bodyTimeoutMillis the time in milliseconds within which a caller must send its body
   */
  public BodyTimeoutHandler(long bodyTimeoutMillis) {
    this.bodyTimeoutMillis = bodyTimeoutMillis;
  }

  @Override
  public void handle(RoutingContext context) {
    long timer =
        context
            .vertx()
            .setTimer(
                bodyTimeoutMillis,
                id -> {
                  if (!context.request().isEnded()) {
                    context.response().putHeader("Connection", "close");
                    context
                        .response()
                        .setStatusCode(STATUS_REQUEST_TIMEOUT)
                        .end()
                        .onComplete(done -> context.request().connection().close());
                  }
                });
    context.addEndHandler(done -> context.vertx().cancelTimer(timer));
    context.next();
  }
}
