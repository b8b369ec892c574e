package org.hickorypier.core.cell;

import org.hickorypier.core.submission.SubmissionSpec;

/**
 * Calculates the retry delay of a submission that is refused while the store or the owner is
 * unavailable.
 *
 * <p>Such outages last two to nine seconds, and all callers are refused meanwhile. A short check
 * that retries late misses its objective although the service is available again; a long batch that
 * retries early uses up its few attempts before that. Stateless.
 */
public final class RetryAfter {

  /**
   * Shortest delay and unit of rounding. With delays between this and the longest, a caller with
   * three attempts left reaches the end of a typical outage of 5 s.
   */
  private static final long MIN_DELAY_MILLIS = 1_000;

  private static final long MAX_DELAY_MILLIS = 3_000;

  /** Work that is accepted after this part of its objective can still meet it. */
  private static final double OBJECTIVE_FRACTION = 1.0 / 3;

  private RetryAfter() {}

  /**
   * Returns the delay before the next attempt.
   *
   * @param spec the specification of the refused submission
   * @return the delay in milliseconds, a multiple of 1,000
   */
  public static long delayMillis(SubmissionSpec spec) {
    double chainMillis = spec.queue().stretch() * spec.criticalPathMillis();
    double wantedMillis = OBJECTIVE_FRACTION * (chainMillis + spec.queue().objectiveMillis());
    long roundedMillis = Math.round(wantedMillis / MIN_DELAY_MILLIS) * MIN_DELAY_MILLIS;
    return Math.max(MIN_DELAY_MILLIS, Math.min(MAX_DELAY_MILLIS, roundedMillis));
  }
}
