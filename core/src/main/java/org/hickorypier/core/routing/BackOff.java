package org.hickorypier.core.routing;

import java.util.random.RandomGenerator;

/**
 * How long to wait before the next try: doubled after each failure up to a limit, with jitter.
 *
 * <p>Load it is made for: an instance comes back after an outage and many callers or peers try
 * again. Without the jitter all of them come back in the same moment and bring it down once more,
 * so each wait is drawn from the upper half of its step. The lower half stays unused, so that a
 * series of short draws cannot turn into a burst.
 *
 * <p>Not thread safe. All draws come from the generator given, so a seeded one repeats them. Seeds
 * that lie close together, as those of instances may, need a generator that mixes its seed, such as
 * {@link java.util.SplittableRandom}: the first draws of {@code Random} are alike.
 */
public final class BackOff {

  private static final int MAX_DOUBLINGS = 30;

  private final long firstMillis;
  private final long limitMillis;
  private final RandomGenerator random;
  private int failures;

  /**
   * Creates a back-off that has seen no failure.
   *
   * @param firstMillis the step after the first failure, at least 2
   * @param limitMillis the longest step
   * @param random where the jitter comes from
   */
  public BackOff(long firstMillis, long limitMillis, RandomGenerator random) {
    if (firstMillis < 2 || limitMillis < firstMillis) {
      throw new IllegalArgumentException("back-off of " + firstMillis + " to " + limitMillis);
    }
    this.firstMillis = firstMillis;
    this.limitMillis = limitMillis;
    this.random = random;
  }

  /**
   * Counts a failure.
   *
   * @return how long to wait before the next try, in milliseconds
   */
  public long nextDelayMillis() {
    int doublings = Math.min(failures, MAX_DOUBLINGS);
    failures++;
    long step = limitMillis >> doublings < firstMillis ? limitMillis : firstMillis << doublings;
    long half = step / 2;
    return half + random.nextLong(step - half + 1);
  }

  /** Forgets the failures. */
  public void reset() {
    failures = 0;
  }
}
