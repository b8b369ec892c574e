package org.hickorypier.core.cell;

/**
 * Decides how long a worker may hold back its answer to a lease renewal while no run ends.
 *
 * <p>The load in question is a fleet that is large for the owner's link: every worker is asked
 * again after each answer, whether or not anything happened there. The end of a run is answered at
 * once in any case. A longer wait only delays the detection of a lost answer and the news of
 * progress, so it is used where the renewals would otherwise take more than a fixed share of the
 * link. Stateless, thus thread-safe.
 */
public final class RenewalInterval {

  /**
   * A busy worker ends some four runs a second, so it rarely waits. When an answer is lost, the
   * owner learns of no end until it gives the answer up, and short checks on that worker come too
   * late.
   */
  static final long MIN_WAIT_MILLIS = 400;

  /** One renewal without an answer and the next one still fit into a lease. */
  static final long MAX_WAIT_MILLIS = 1_200;

  /** Share of the link that the renewals of idle workers may take in each direction. */
  private static final double LINK_SHARE = 0.1;

  /** Size of a renewal, and about that of its answer, with HTTP headers. */
  private static final double RENEWAL_BYTES = 300;

  private static final double MILLIS_PER_SECOND = 1_000;

  private RenewalInterval() {}

  /**
   * Returns the wait of a renewal.
   *
   * @param workers the number of workers whose leases are renewed
   * @param linkBytesPerSecond the bandwidth of the owner's link in each direction, in bytes per
   *     second; more than 0
   * @return the wait in milliseconds
   */
  public static long waitMillis(int workers, double linkBytesPerSecond) {
    double affordable =
        MILLIS_PER_SECOND * workers * RENEWAL_BYTES / (LINK_SHARE * linkBytesPerSecond);
    return Math.max(MIN_WAIT_MILLIS, Math.min(MAX_WAIT_MILLIS, Math.round(affordable)));
  }
}
