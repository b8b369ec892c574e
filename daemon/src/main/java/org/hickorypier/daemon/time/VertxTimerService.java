package org.hickorypier.daemon.time;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Timers that run on one Vert.x context, which is then the control thread.
 *
 * <p>Thread safe; callbacks run on the context.
 */
public final class VertxTimerService implements TimerService {

  private final Vertx vertx;
  private final Context context;
  private final long startNanos = System.nanoTime();

  /**
   * Creates the timers.
   *
   * @param vertx runs them
   * @param context where the callbacks run
   */
  public VertxTimerService(Vertx vertx, Context context) {
    this.vertx = vertx;
    this.context = context;
  }

  @Override
  public long nowMillis() {
    // From 1 on, so that 0 can stand for "never".
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) + 1;
  }

  @Override
  public TimerSubscription every(Duration period, Runnable task) {
    long timer =
        vertx.setPeriodic(period.toMillis(), id -> context.runOnContext(none -> task.run()));
    return () -> vertx.cancelTimer(timer);
  }

  @Override
  public TimerSubscription after(Duration delay, Runnable task) {
    long millis = Math.max(1, delay.toMillis());
    long timer = vertx.setTimer(millis, id -> context.runOnContext(none -> task.run()));
    return () -> vertx.cancelTimer(timer);
  }
}
