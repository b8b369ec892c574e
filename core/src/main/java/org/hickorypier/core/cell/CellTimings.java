package org.hickorypier.core.cell;

/**
 * The time limits that the owner of a cell applies.
 *
 * <p>Immutable.
 *
 * @param leaseMillis length of a worker's lease at each renewal, in milliseconds
 * @param maxGrantMillis the longest lease that a worker grants, on the worker's clock, in
 *     milliseconds
 * @param ownershipProofMillis how long an owner renews leases after its last proof of ownership, in
 *     milliseconds
 * @param gangMillis how long a started member of a gang waits for the others, in milliseconds
 * @param endStateRetentionMillis how long callers can query an end state, in milliseconds
 * @param evacuationReadAgeMillis age of the last read of the operator's evacuations from which on
 *     nothing starts, in milliseconds; {@link #UNLIMITED} if they are not under a time limit
 * @param startOrderMillis validity of a start order on the worker's clock, in milliseconds
 * @param decisions the optional decisions of the owner
 */
public record CellTimings(
    long leaseMillis,
    long maxGrantMillis,
    long ownershipProofMillis,
    long gangMillis,
    long endStateRetentionMillis,
    long evacuationReadAgeMillis,
    long startOrderMillis,
    DecisionSettings decisions) {

  /** Marks a time without a limit. */
  public static final long UNLIMITED = Long.MAX_VALUE;

  /**
   * Lowest rate of a worker's clock relative to the owner's: the platform documents a deviation of
   * up to 2%. A lease of D milliseconds on the worker's clock lasts up to D / 0.98 on the owner's.
   */
  public static final double SLOWEST_CLOCK_RATE = 0.98;

  /**
   * The longest lease that an owner requests. The tasks of a lost worker restart when its lease
   * expires, early enough for a short check to be of use to its caller. A shorter lease could
   * expire during a restart of all instances, which takes 2.3 to 3.1 s until the first renewal, and
   * all running work would be lost.
   */
  private static final long MAX_REQUESTED_LEASE_MILLIS = 3_500;

  /**
   * How long an owner renews leases without a proof of ownership. Together with the last lease it
   * covers a store outage of 6 s. A successor waits for the sum of both for a worker that it cannot
   * reach, so the sum must be less than the 9 s within which a persistent task has to run again.
   */
  private static final long OWNERSHIP_PROOF_MILLIS = 3_000;

  /**
   * A start order whose answer is lost may be carried out up to 12 s later. The worker refuses one
   * that is no longer valid, and a task whose run is unaccounted for is free again by then.
   */
  private static final long MAX_START_ORDER_MILLIS = 2_000;

  /** A worker that is well has answered an order, and one repetition of it, within this time. */
  private static final long MIN_START_ORDER_MILLIS = 1_000;

  /**
   * Age that a read of the evacuations may always reach: a read that waits for changes takes 1 s,
   * and its answer some 0.3 s from a slow store.
   */
  private static final long MIN_EVACUATION_READ_AGE_MILLIS = 1_500;

  /**
   * Upper bound of the delay until a call with a lost answer is carried out. The platform's
   * documentation gives 12 s.
   */
  static final long MAX_CALL_DELAY_MILLIS = 13_000;

  /** An order that has no answer after this time has been given up. */
  static final long MAX_ANSWER_WAIT_MILLIS = 2_000;

  /** Upper bound of the delay with which a reading of a worker's clock arrives. */
  static final long MAX_READING_DELAY_MILLIS = 2_000;

  /**
   * Most that a worker's clock may lag behind its last reading and the time since, for 3 s at the
   * lowest rate. A later incarnation's clock may begin anew, so it is behind by its age.
   */
  static final long MAX_CLOCK_LAG_MILLIS = 60;

  /** Covers rounding and network delay when the end of a lease is calculated. */
  static final long LEASE_MARGIN_MILLIS = 300;

  /**
   * Derives the time limits from the bounds of the installation.
   *
   * @param longestLeaseMillis the longest lease that a worker grants, in milliseconds
   * @param gangMillis how long a started member of a gang waits for the others, in milliseconds
   * @param endStateRetentionMillis how long callers can query an end state, in milliseconds
   * @return the time limits
   */
  public static CellTimings of(
      long longestLeaseMillis, long gangMillis, long endStateRetentionMillis) {
    long lease = Math.min(longestLeaseMillis, MAX_REQUESTED_LEASE_MILLIS);
    return new CellTimings(
        lease,
        longestLeaseMillis,
        OWNERSHIP_PROOF_MILLIS,
        gangMillis,
        endStateRetentionMillis,
        UNLIMITED,
        MAX_START_ORDER_MILLIS,
        DecisionSettings.DEFAULT);
  }

  /**
   * Returns the time limits of an installation whose evacuations are under a time limit.
   *
   * <p>An order may be carried out as long as it is valid, so the age of a read and the validity of
   * an order together stay below the limit. A short limit shortens the orders, down to the time in
   * which a worker answers.
   *
   * @param evacuationMillis the time within which a requested evacuation must be in force, in
   *     milliseconds
   * @return the time limits
   */
  public CellTimings withEvacuationMillis(long evacuationMillis) {
    long orderAndMargin = evacuationMillis - MIN_EVACUATION_READ_AGE_MILLIS;
    long validMillis = Math.round((orderAndMargin - LEASE_MARGIN_MILLIS) * SLOWEST_CLOCK_RATE);
    long orderMillis =
        Math.max(MIN_START_ORDER_MILLIS, Math.min(MAX_START_ORDER_MILLIS, validMillis));
    long longestOrderMillis = Math.round(orderMillis / SLOWEST_CLOCK_RATE) + LEASE_MARGIN_MILLIS;
    return new CellTimings(
        leaseMillis,
        maxGrantMillis,
        ownershipProofMillis,
        gangMillis,
        endStateRetentionMillis,
        Math.max(MIN_EVACUATION_READ_AGE_MILLIS, evacuationMillis - longestOrderMillis),
        orderMillis,
        decisions);
  }

  /**
   * Returns the same time limits with other optional decisions.
   *
   * @param other the decisions
   * @return the time limits
   */
  public CellTimings withDecisions(DecisionSettings other) {
    return new CellTimings(
        leaseMillis,
        maxGrantMillis,
        ownershipProofMillis,
        gangMillis,
        endStateRetentionMillis,
        evacuationReadAgeMillis,
        startOrderMillis,
        other);
  }

  /**
   * Returns how long after a takeover a worker that stays silent may still run tasks of the
   * previous owner, which renews leases until its proof expires; each renewal lasts one lease.
   *
   * @return the time in milliseconds
   */
  public long silentWorkerTimeoutMillis() {
    return ownershipProofMillis + longestLeaseMillis();
  }

  /**
   * Returns how long after its renewal a lease may last on a clock other than the worker's.
   *
   * @return the time in milliseconds
   */
  public long longestLeaseMillis() {
    return Math.round(leaseMillis / SLOWEST_CLOCK_RATE) + LEASE_MARGIN_MILLIS;
  }

  /**
   * Returns how long after its sending a call to a former incarnation may have an effect: it is
   * carried out late and grants the longest lease.
   *
   * @return the time in milliseconds
   */
  long longestFormerCallMillis() {
    return MAX_CALL_DELAY_MILLIS + longestFormerLeaseMillis();
  }

  /**
   * Returns how long a lease may last on a clock other than the worker's, if its deadline is on the
   * clock of a former incarnation of the worker. Such a deadline may be at any distance.
   *
   * @return the time from the call that grants the lease, in milliseconds
   */
  long longestFormerLeaseMillis() {
    return Math.round(maxGrantMillis / SLOWEST_CLOCK_RATE) + LEASE_MARGIN_MILLIS;
  }
}
