package org.hickorypier.daemon.time;

import java.time.Duration;

/**
 * The sole source of time in the daemon. Components set timers; none reads a clock or sleeps.
 *
 * <p>Callbacks run on the control thread. {@link #nowMillis} is thread-safe.
 */
public interface TimerService {

  /**
   * Returns the time of a monotonic clock. It is unrelated to the wall clock and to the clocks of
   * other instances.
   *
   * @return milliseconds since a fixed moment of this process
   */
  long nowMillis();

  /**
   * Runs a task periodically.
   *
   * @param period the time between two runs
   * @param task the task, which runs on the control thread
   * @return the subscription that cancels the timer
   */
  TimerSubscription every(Duration period, Runnable task);

  /**
   * Runs a task once.
   *
   * @param delay the time until the run
   * @param task the task, which runs on the control thread
   * @return the subscription that cancels the timer before the run
   */
  TimerSubscription after(Duration delay, Runnable task);
}
