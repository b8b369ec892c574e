package org.hickorypier.core.cell;

/**
 * The figures that the owner of a cell works with.
 *
 * <p>Immutable.
 *
 * @param leaseMillis length of a worker's lease at each renewal, in milliseconds
 * @param ownershipProofMillis how long an owner renews leases after its last proof of ownership
 * @param gangMillis how long a member of a gang waits for the others, in milliseconds
 * @param endStateRetentionMillis how long an end state is told, in milliseconds
 */
public record CellTimings(
    long leaseMillis, long ownershipProofMillis, long gangMillis, long endStateRetentionMillis) {

  /**
   * How much slower than ours a worker's clock may be: the platform's pages say 2%. A lease of D
   * milliseconds on the worker's clock takes up to D / 0.98 on ours.
   */
  public static final double SLOWEST_CLOCK_RATE = 0.98;

  /**
   * The longest lease that is asked for. What a lost worker had starts again when it expires, so a
   * short check is still of use to its caller; shorter, and a restart of all instances together,
   * measured at 2.3 to 3.1 s until the first renewal, would throw all work away.
   */
  private static final long MAX_REQUESTED_LEASE_MILLIS = 3_500;

  /**
   * How long an owner renews leases without a proof of ownership. With the last lease it bridges an
   * outage of the store of 6 s. A successor that cannot hear a worker waits as long as both, which
   * must be less than the 9 s within which a task that lasts has to run again.
   */
  private static final long OWNERSHIP_PROOF_MILLIS = 3_000;

  /** Covers the rounding and the time on the wire when the end of a lease is worked out. */
  static final long LEASE_MARGIN_MILLIS = 300;

  /**
   * Derives the figures from the bounds of the installation.
   *
   * @param longestLeaseMillis the longest lease that a worker grants, in milliseconds
   * @param gangMillis how long a member of a gang waits for the others, in milliseconds
   * @param endStateRetentionMillis how long an end state is told, in milliseconds
   * @return the figures
   */
  public static CellTimings of(long longestLeaseMillis, long gangMillis, long stateKeptMillis) {
    long lease = Math.min(longestLeaseMillis, MAX_REQUESTED_LEASE_MILLIS);
    return new CellTimings(lease, OWNERSHIP_PROOF_MILLIS, gangMillis, stateKeptMillis);
  }

  /**
   * Returns how long after a takeover a worker that stays silent may still run what the predecessor
   * gave it: the predecessor renews for the time of its proof, and each renewal lasts one lease.
   *
   * @return milliseconds
   */
  public long silentWorkerTimeoutMillis() {
    return ownershipProofMillis + longestLeaseMillis();
  }

  /**
   * Returns how long after its renewal a lease may last, on any clock but the worker's.
   *
   * @return milliseconds
   */
  public long longestLeaseMillis() {
    return Math.round(leaseMillis / SLOWEST_CLOCK_RATE) + LEASE_MARGIN_MILLIS;
  }
}
