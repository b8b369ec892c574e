package org.hickorypier.core.cell;

import java.time.Duration;

/**
 * Decides how long events are gathered before the next scheduling pass.
 *
 * <p>Load: hundreds of steps wait in a full cell, so that a pass takes several milliseconds, while
 * hundreds of events a second each allow one. Without a bound, an owner on a weak machine spends
 * its processor on passes that start nothing, and its answers to callers and workers come late. The
 * delay grows with the duration of the passes, so that they take a fifth of the processor at most.
 * Confined to the control thread.
 */
public final class PassPacing {

  /** Events that arrive within this time share a pass. */
  private static final double MIN_DELAY_MILLIS = 4;

  /** A short check must not wait noticeably longer for a pass than its start order takes. */
  private static final double MAX_DELAY_MILLIS = 50;

  /** Pause in relation to the duration of a pass. */
  private static final double PAUSE_PER_PASS = 4;

  /** Weight of the latest pass; single ones are interrupted by other load on the machine. */
  private static final double SAMPLE_WEIGHT = 0.2;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Pause within a pass, in which calls, proofs and renewals are handled. */
  private static final double PART_DELAY_MILLIS = 1;

  private double passMillis;

  /** Duration of the parts of a pass that is not complete; 0 between passes. */
  private double partMillis;

  /** Creates the pacing of an owner that has made no pass yet. */
  public PassPacing() {}

  /**
   * Records the duration of a pass, or of a part of it.
   *
   * @param nanos the duration, in nanoseconds
   * @param complete whether the pass is complete
   * @return the duration of all parts, in milliseconds
   */
  public double recordPass(long nanos, boolean complete) {
    double millis = partMillis + nanos / NANOS_PER_MILLI;
    partMillis = complete ? 0 : millis;
    if (complete) {
      passMillis += SAMPLE_WEIGHT * (millis - passMillis);
    }
    return millis;
  }

  /**
   * Returns the time from an event to the pass that handles it, or to the next part of a pass.
   *
   * @return the delay
   */
  public Duration delay() {
    if (partMillis > 0) {
      return Duration.ofMillis(Math.round(PART_DELAY_MILLIS));
    }
    double millis = Math.min(MAX_DELAY_MILLIS, PAUSE_PER_PASS * passMillis);
    return Duration.ofMillis(Math.round(Math.max(MIN_DELAY_MILLIS, millis)));
  }
}
