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

  private double passMillis;

  /** Creates the pacing of an owner that has made no pass yet. */
  public PassPacing() {}

  /**
   * Records the duration of a pass.
   *
   * @param nanos the duration, in nanoseconds
   */
  public void recordPass(long nanos) {
    passMillis += SAMPLE_WEIGHT * (nanos / NANOS_PER_MILLI - passMillis);
  }

  /**
   * Returns the time from an event to the pass that handles it.
   *
   * @return the delay
   */
  public Duration delay() {
    double millis = Math.min(MAX_DELAY_MILLIS, PAUSE_PER_PASS * passMillis);
    return Duration.ofMillis(Math.round(Math.max(MIN_DELAY_MILLIS, millis)));
  }
}
