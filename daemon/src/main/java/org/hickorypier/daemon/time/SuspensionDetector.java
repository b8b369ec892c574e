package org.hickorypier.daemon.time;

import java.util.function.LongSupplier;

/**
 * Finds out that the process was suspended.
 *
 * <p>Failure: an instance is suspended for seconds. Its steady clock stands still meanwhile, so a
 * proof of ownership, or of a key, that is long out of date looks fresh. Symptom: orders beside
 * those of a successor, and requests taken with a withdrawn key. Safeguard: the time of day goes on
 * during a suspension, so the two clocks drift apart; proofs from before are then void. A step of
 * the time of day looks the same and costs one question to the store. Thread safe.
 */
public final class SuspensionDetector {

  /** Clocks are slewed by less than a millisecond between two looks. */
  private static final long MAX_DRIFT_MILLIS = 250;

  private final LongSupplier steadyMillis;
  private final LongSupplier wallMillis;
  private volatile long driftMillis;
  private volatile long resumedAt = Long.MIN_VALUE;

  /**
   * Creates the guard.
   *
   * @param steadyMillis the steady clock
   * @param wallMillis the time of day
   */
  public SuspensionDetector(LongSupplier steadyMillis, LongSupplier wallMillis) {
    this.steadyMillis = steadyMillis;
    this.wallMillis = wallMillis;
    this.driftMillis = wallMillis.getAsLong() - steadyMillis.getAsLong();
  }

  /**
   * Tells whether something learnt at some time may still be believed, as far as pauses go.
   *
   * @param learntAt when it was learnt, on the steady clock
   * @return false if the process may have been suspended since
   */
  public boolean isUninterruptedSince(long learntAt) {
    return learntAt > uninterruptedSince();
  }

  /**
   * Returns since when the steady clock has run without a pause, as far as is known.
   *
   * @return a time on the steady clock
   */
  public long uninterruptedSince() {
    long steady = steadyMillis.getAsLong();
    long present = wallMillis.getAsLong() - steady;
    if (Math.abs(present - driftMillis) > MAX_DRIFT_MILLIS) {
      driftMillis = present;
      resumedAt = steady;
    }
    return resumedAt;
  }
}
