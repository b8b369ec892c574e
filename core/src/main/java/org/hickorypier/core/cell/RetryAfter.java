package org.hickorypier.core.cell;

import org.hickorypier.core.submission.SubmissionSpec;

/**
 * When a caller that was refused for want of a store or an owner should come back.
 *
 * <p>Load: the store or all owners are away for two to nine seconds, and all callers are refused.
 * Harm prevented: a short check that comes back late has missed its objective though the service is
 * back; a long batch that comes back early uses its few tries up before that. Stateless.
 */
public final class RetryAfter {

  /** A caller with three tries left reaches the far end of a usual outage of 5 s with these. */
  private static final long MIN_DELAY_MILLIS = 1_000;

  private static final long MAX_DELAY_MILLIS = 3_000;

  /** After so large a part of its objective, work that is then accepted is still in time. */
  private static final double OBJECTIVE_FRACTION = 1.0 / 3;

  private RetryAfter() {}

  /**
   * Tells when to come back.
   *
   * @param spec what was refused
   * @return milliseconds, whole seconds
   */
  public static long delayMillis(SubmissionSpec spec) {
    double chain = spec.queue().stretch() * spec.longestChainMillis();
    double wanted = OBJECTIVE_FRACTION * (chain + spec.queue().objectiveMillis());
    long seconds = Math.round(wanted / MIN_DELAY_MILLIS) * MIN_DELAY_MILLIS;
    return Math.max(MIN_DELAY_MILLIS, Math.min(MAX_DELAY_MILLIS, seconds));
  }
}
