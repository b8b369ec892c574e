package org.hickorypier.daemon.time;

import java.time.Duration;

/**
 * Measures by how much the control thread runs later than planned.
 *
 * <p>On a machine at the limit of its processor, an answer that has arrived in time may lie unread
 * when the timeout of its call expires. Such a timeout says nothing about the other side. Confined
 * to the control thread.
 */
public final class DelayMonitor {

  /** An owner's timeouts depend on the samples. */
  static final Duration SAMPLE_PERIOD = Duration.ofMillis(50);

  /** Shows the delays of any other instance in its log; the samples are its most frequent work. */
  static final Duration IDLE_SAMPLE_PERIOD = Duration.ofMillis(250);

  /** Delay that may hide an answer; the pauses of a machine with a small share are shorter. */
  static final long SIGNIFICANT_DELAY_MILLIS = 200;

  private final TimerService timers;
  private Duration period = IDLE_SAMPLE_PERIOD;
  private TimerSubscription timer;
  private long sampledAt;
  private long delayedAt = Long.MIN_VALUE;
  private long maxDelayMillis;

  /**
   * Creates a monitor, which measures from now on.
   *
   * @param timers the clock and the timers of the control thread
   */
  public DelayMonitor(TimerService timers) {
    this.timers = timers;
    this.sampledAt = timers.nowMillis();
    this.timer = timers.every(period, this::sample);
  }

  /**
   * Changes how often the delay is measured.
   *
   * @param timeoutsDependOnIt whether {@link #wasDelayedSince} is used from now on
   */
  public void sampleOften(boolean timeoutsDependOnIt) {
    sample();
    timer.cancel();
    period = timeoutsDependOnIt ? SAMPLE_PERIOD : IDLE_SAMPLE_PERIOD;
    timer = timers.every(period, this::sample);
  }

  /**
   * Returns whether the control thread was delayed at some moment since the given time, so that an
   * answer may have gone unread.
   *
   * @param time the time, by the timers' clock, in milliseconds
   * @return true if a timeout that began then is inconclusive
   */
  public boolean wasDelayedSince(long time) {
    return delayedAt >= time || presentDelayMillis() >= SIGNIFICANT_DELAY_MILLIS;
  }

  /**
   * Returns the largest delay since the last call of this method.
   *
   * @return the delay in milliseconds
   */
  public long takeMaxDelayMillis() {
    long max = Math.max(maxDelayMillis, presentDelayMillis());
    maxDelayMillis = 0;
    return max;
  }

  private void sample() {
    long delay = presentDelayMillis();
    sampledAt = timers.nowMillis();
    maxDelayMillis = Math.max(maxDelayMillis, delay);
    if (delay >= SIGNIFICANT_DELAY_MILLIS) {
      delayedAt = sampledAt;
    }
  }

  private long presentDelayMillis() {
    return Math.max(0, timers.nowMillis() - sampledAt - period.toMillis());
  }
}
