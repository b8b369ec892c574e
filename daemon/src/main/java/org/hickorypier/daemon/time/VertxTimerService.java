package org.hickorypier.daemon.time;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Timer service on one Vert.x context, which serves as the control thread.
 *
 * <p>Thread-safe; callbacks run on the context.
 */
public final class VertxTimerService implements TimerService {

  private final Vertx vertx;
  private final Context context;
  private final long startNanos = System.nanoTime();

  /**
   * Creates the timer service.
   *
   * @param vertx runs the timers
   * @param context the context on which the callbacks run
   */
  public VertxTimerService(Vertx vertx, Context context) {
    this.vertx = vertx;
    this.context = context;
  }

  @Override
  public long nowMillis() {
    // The clock starts at 1, so that 0 can mean "never".
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) + 1;
  }

  @Override
  public TimerSubscription every(Duration period, Runnable task) {
    long timerId = vertx.setPeriodic(period.toMillis(), id -> runOnContext(task));
    return () -> vertx.cancelTimer(timerId);
  }

  @Override
  public TimerSubscription after(Duration delay, Runnable task) {
    long delayMillis = Math.max(1, delay.toMillis());
    long timerId = vertx.setTimer(delayMillis, id -> runOnContext(task));
    return () -> vertx.cancelTimer(timerId);
  }

  /** A timer that was set on the context runs on it, and needs no second task. */
  private void runOnContext(Runnable task) {
    if (vertx.getOrCreateContext() == context) {
      task.run();
    } else {
      context.runOnContext(ignored -> task.run());
    }
  }
}
