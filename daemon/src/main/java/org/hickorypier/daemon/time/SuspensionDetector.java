package org.hickorypier.daemon.time;

import java.util.function.LongSupplier;

/**
 * Detects that the process was suspended.
 *
 * <p>While an instance is suspended, its monotonic clock stands still, so a proof of ownership or
 * of a key that is seconds out of date looks recent. The instance would then send orders beside
 * those of a successor and accept requests with a withdrawn key. The wall clock advances during a
 * suspension, so the two clocks drift apart, and proofs from before the drift are void. A step of
 * the wall clock looks the same and costs one request to the store. Thread-safe.
 */
public final class SuspensionDetector {

  /** Clocks are slewed by less than a millisecond between two checks. */
  private static final long MAX_DRIFT_MILLIS = 250;

  private final LongSupplier monotonicMillis;
  private final LongSupplier wallMillis;
  private volatile long driftMillis;
  private volatile long resumedAt = Long.MIN_VALUE;

  /**
   * Creates the detector.
   *
   * @param monotonicMillis the monotonic clock, in milliseconds
   * @param wallMillis the wall clock, in milliseconds
   */
  public SuspensionDetector(LongSupplier monotonicMillis, LongSupplier wallMillis) {
    this.monotonicMillis = monotonicMillis;
    this.wallMillis = wallMillis;
    this.driftMillis = wallMillis.getAsLong() - monotonicMillis.getAsLong();
  }

  /**
   * Returns whether the process has run without a known suspension since the given time.
   *
   * @param learntAt the time at which something was learnt, on the monotonic clock
   * @return false if the process may have been suspended since, so that it may be out of date
   */
  public boolean isUninterruptedSince(long learntAt) {
    return learntAt > uninterruptedSince();
  }

  /**
   * Returns the time since which the process has run without a known suspension.
   *
   * @return milliseconds on the monotonic clock; the least value of the type if no suspension is
   *     known
   */
  public long uninterruptedSince() {
    long nowMillis = monotonicMillis.getAsLong();
    long currentDriftMillis = wallMillis.getAsLong() - nowMillis;
    if (Math.abs(currentDriftMillis - driftMillis) > MAX_DRIFT_MILLIS) {
      driftMillis = currentDriftMillis;
      resumedAt = nowMillis;
    }
    return resumedAt;
  }
}
