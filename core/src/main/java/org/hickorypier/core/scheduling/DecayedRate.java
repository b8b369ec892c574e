package org.hickorypier.core.scheduling;

/**
 * Events a second, with older events counting less and less.
 *
 * <p>Not thread safe.
 */
final class DecayedRate {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** A few events in the first millisecond are no rate. */
  private static final double MIN_OBSERVED_MILLIS = 1_000;

  /** Below this, what is left of old events says nothing of the present. */
  private static final double MIN_WEIGHT = 0.5;

  private final double windowMillis;
  private double weight;
  private long firstEventMillis;
  private long latestEventMillis;
  private boolean hasEvents;

  /**
   * Creates a rate without events.
   *
   * @param windowMillis the time after which an event counts a third
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
   * Returns the events a second; while young, over the time since the first event. Once less than
   * half an event is left in the window nothing is known any more, and the rate is 0. Without that,
   * an instance whose team had been quiet, or waited for permits, took the remainder of an old rate
   * for the present one, estimated a wait of an hour, and refused work beside idle workers.
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
