package org.hickorypier.daemon.time;

import java.time.Duration;

/**
 * The one source of time in the daemon. Parts subscribe; none reads a clock or sleeps.
 *
 * <p>Callbacks run on the control thread. {@link #nowMillis} is safe from any thread.
 */
public interface TimerService {

  /**
   * Returns the time of a monotonic clock. It says nothing about the time of day, and nothing about
   * other instances' clocks.
   *
   * @return milliseconds from some fixed moment of this process
   */
  long nowMillis();

  /**
   * Runs a task again and again.
   *
   * @param period the time between two runs
   * @param task what to run, on the control thread
   * @return the subscription, to end it
   */
  TimerSubscription every(Duration period, Runnable task);

  /**
   * Runs a task once.
   *
   * @param delay the time until then
   * @param task what to run, on the control thread
   * @return the subscription, to end it before that
   */
  TimerSubscription after(Duration delay, Runnable task);
}
