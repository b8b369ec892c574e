package org.hickorypier.core.scheduling;

/**
 * An event rate per second in which older events decay exponentially.
 *
 * <p>Not thread-safe.
 */
final class DecayedRate {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** A few events in the first millisecond do not establish a rate. */
  private static final double MIN_OBSERVED_MILLIS = 1_000;

  /** Below this weight, the remainder of old events is no evidence of the present rate. */
  private static final double MIN_WEIGHT = 0.5;

  private final double windowMillis;
  private double weight;
  private long firstEventMillis;
  private long latestEventMillis;
  private boolean hasEvents;

  /**
   * Creates a rate without events.
   *
   * @param windowMillis the time constant in milliseconds, after which the weight of an event falls
   *     to about a third
   */
  DecayedRate(double windowMillis) {
    this.windowMillis = windowMillis;
  }

  void count(long now) {
    if (!hasEvents) {
      hasEvents = true;
      firstEventMillis = now;
      latestEventMillis = now;
    }
    weight = decayedWeight(now) + 1;
    latestEventMillis = now;
  }

  /**
   * Returns the rate in events per second. During the first window, the rate is taken over the time
   * since the first event.
   *
   * <p>The rate is 0 (unknown) once less than half an event is left in the window. Otherwise, the
   * remainder of an old rate would count as the present one after a team was quiet or waited for
   * permits. The estimated wait would then reach an hour, and work would be refused while workers
   * are idle.
   */
  double perSecond(long now) {
    if (!hasEvents || decayedWeight(now) < MIN_WEIGHT) {
      return 0;
    }
    double seen = Math.max(MIN_OBSERVED_MILLIS, now - firstEventMillis);
    double window = windowMillis * (1 - Math.exp(-seen / windowMillis));
    return decayedWeight(now) / window * MILLIS_PER_SECOND;
  }

  private double decayedWeight(long now) {
    return weight * Math.exp(-(now - latestEventMillis) / windowMillis);
  }
}
