package org.hickorypier.core.cell;

/**
 * The time for which a message may wait behind a burst of work on a machine.
 *
 * <p>The load in question is an owner on a weak machine right after a takeover or in a burst of
 * submissions: what it sends meanwhile, also the proof that it is alive, waits for its processor
 * and its link. Where a timeout allows for this time, a late answer is not taken for the loss of
 * the owner, and no takeover adds to the load. On a strong machine the time is negligible.
 * Stateless, thus thread-safe.
 */
public final class BurstDelay {

  /** Bytes of the orders, renewals and appends of a burst. */
  private static final double BURST_BYTES = 65_536;

  /** Processor time of a burst on one core. */
  private static final double BURST_PROCESSOR_MILLIS = 20;

  private static final double MILLIS_PER_SECOND = 1_000;

  private BurstDelay() {}

  /**
   * Returns the time that a burst takes on a machine.
   *
   * @param processors the cores of the machine, of which a part counts too; more than 0
   * @param linkBytesPerSecond the bandwidth of its link in each direction, in bytes per second;
   *     more than 0
   * @return the time in milliseconds
   */
  public static long millis(double processors, double linkBytesPerSecond) {
    return Math.round(
        BURST_PROCESSOR_MILLIS / processors + MILLIS_PER_SECOND * BURST_BYTES / linkBytesPerSecond);
  }
}
