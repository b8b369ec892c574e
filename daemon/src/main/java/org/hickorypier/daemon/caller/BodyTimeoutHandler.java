package org.hickorypier.daemon.caller;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;

/**
 * Cuts off a caller that does not finish sending its body in time.
 *
 * <p>A sender that stops half-way would keep its buffer for ever; many of them would fill the
 * memory. With a bound on the body and on the time, what they can hold is bounded too. Only the
 * sending is timed: a caller may wait for its answer as long as it likes. Thread safe.
 */
public final class BodyTimeoutHandler implements Handler<RoutingContext> {

  private static final int STATUS_REQUEST_TIMEOUT = 408;

  private final long bodyTimeoutMillis;

  /**
   * Creates a guard.
   *
   * @param senderMillis how long a caller may take to send its body
   */
  public BodyTimeoutHandler(long senderMillis) {
    this.bodyTimeoutMillis = senderMillis;
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
