package org.hickorypier.core.routing;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter: the delay doubles after each failure up to a limit.
 *
 * <p>When an instance recovers from an outage, many callers or peers retry. Without jitter all of
 * them retry at the same moment and overload it again, so each delay is drawn from the upper half
 * of its step. The lower half is not used, so that a series of short draws cannot become a burst.
 *
 * <p>Not thread-safe. All draws come from the given generator, so a seeded one reproduces them.
 * Seeds that are close together, as those of instances may be, need a generator that mixes its
 * seed, such as {@link java.util.SplittableRandom}: the first draws of {@code Random} are alike.
 */
public final class BackOff {

  private static final int MAX_DOUBLINGS = 30;

  private final long initialStepMillis;
  private final long maxStepMillis;
  private final RandomGenerator random;
  private int failures;

  /**
   * Creates a backoff without failures.
   *
   * @param initialStepMillis the step after the first failure in milliseconds, at least 2
   * @param maxStepMillis the longest step in milliseconds
   * @param random the source of the jitter
   */
  public BackOff(long initialStepMillis, long maxStepMillis, RandomGenerator random) {
    if (initialStepMillis < 2 || maxStepMillis < initialStepMillis) {
      throw new IllegalArgumentException(
          "invalid backoff range in ms: " + initialStepMillis + " to " + maxStepMillis);
    }
    this.initialStepMillis = initialStepMillis;
    this.maxStepMillis = maxStepMillis;
    this.random = random;
  }

  /**
   * Records a failure and returns the delay before the next attempt.
   *
   * @return the delay in milliseconds
   */
  public long nextDelayMillis() {
    int doublings = Math.min(failures, MAX_DOUBLINGS);
    failures++;
    long step =
        maxStepMillis >> doublings < initialStepMillis
            ? maxStepMillis
            : initialStepMillis << doublings;
    long half = step / 2;
    return half + random.nextLong(step - half + 1);
  }

  /** Records a success: the next failure counts as the first one. */
  public void reset() {
    failures = 0;
  }
}
