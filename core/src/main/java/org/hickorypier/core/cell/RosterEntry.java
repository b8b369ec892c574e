package org.hickorypier.core.cell;

import java.util.List;
import java.util.Optional;

/**
 * A worker that may have runs, as a successor reads it from the journal or a former owner reports
 * it.
 *
 * <p>Immutable.
 *
 * @param worker the worker's entry in the worker list
 * @param closedAfter the number of the last submission of which the worker may have runs, since it
 *     gets no more orders; {@link #OPEN} while it may get orders
 * @param leaseMillis how long after the writing of this entry a lease of the worker may last, in
 *     milliseconds, apart from that of the unheard runs; {@link #RENEWED} while the writer
 *     continues to renew it
 * @param runs all runs that the worker may have; empty if the writer does not list them
 * @param formerLeaseMillis how long after the writing of this entry a lease may last that the
 *     worker has taken from a call to a former incarnation, in milliseconds; 0 if there is none
 * @param unheardRuns those of the runs that may be active longer than the lease
 */
public record RosterEntry(
    WorkerEntry worker,
    long closedAfter,
    long leaseMillis,
    Optional<List<RunKey>> runs,
    long formerLeaseMillis,
    UnheardRuns unheardRuns) {

  /** Marks a worker that may get orders for any submission. */
  public static final long OPEN = -1;

  /** Marks a worker whose lease the writer may renew after it has written the entry. */
  public static final long RENEWED = -1;

  /** Copies the list, so that the record is immutable. */
  public RosterEntry {
    runs = runs.map(List::copyOf);
  }

  /**
   * Creates the entry of a worker without a lease of a call to a former incarnation.
   *
   * @param worker the worker's entry in the worker list
   * @param closedAfter the number of the last submission of which the worker may have runs, or
   *     {@link #OPEN}
   * @param leaseMillis how long after the writing of this entry a lease of the worker may last, in
   *     milliseconds, or {@link #RENEWED}
   * @param runs all runs that the worker may have; empty if the writer does not list them
   */
  public RosterEntry(
      WorkerEntry worker, long closedAfter, long leaseMillis, Optional<List<RunKey>> runs) {
    this(worker, closedAfter, leaseMillis, runs, 0, UnheardRuns.NONE);
  }

  /**
   * Creates the entry of a worker whose lease is renewed and whose runs are not listed.
   *
   * @param worker the worker's entry in the worker list
   * @param closedAfter the number of the last submission of which the worker may have runs, or
   *     {@link #OPEN}
   */
  public RosterEntry(WorkerEntry worker, long closedAfter) {
    this(worker, closedAfter, RENEWED, Optional.empty());
  }

  /**
   * Returns the entry with the worker marked as draining or not.
   *
   * @param draining whether the worker takes no new tasks and will leave
   * @return the entry
   */
  public RosterEntry withDraining(boolean draining) {
    return new RosterEntry(
        worker.withDraining(draining),
        closedAfter,
        leaseMillis,
        runs,
        formerLeaseMillis,
        unheardRuns);
  }

  /**
   * Returns the entry with another lease of a call to a former incarnation.
   *
   * @param millis how long after the writing of this entry that lease may last, in milliseconds
   * @return the entry
   */
  public RosterEntry withFormerLease(long millis) {
    return new RosterEntry(worker, closedAfter, leaseMillis, runs, millis, unheardRuns);
  }

  /**
   * Returns the entry with other runs that may be active longer than the lease.
   *
   * @param unheard those runs
   * @return the entry
   */
  public RosterEntry withUnheardRuns(UnheardRuns unheard) {
    return new RosterEntry(worker, closedAfter, leaseMillis, runs, formerLeaseMillis, unheard);
  }

  /**
   * Returns the entry as of some time later.
   *
   * @param millis the elapsed time, in milliseconds
   * @return an entry with the remaining leases reduced by that time, but not below 0, except a
   *     lease that is renewed
   */
  public RosterEntry afterElapsed(long millis) {
    return new RosterEntry(
        worker,
        closedAfter,
        renewed() ? RENEWED : Math.max(0, leaseMillis - millis),
        runs,
        Math.max(0, formerLeaseMillis - millis),
        unheardRuns.afterElapsed(millis));
  }

  /**
   * Returns whether the writer may renew the worker's lease after it has written the entry.
   *
   * @return false if the lease is left to expire
   */
  public boolean renewed() {
    return leaseMillis == RENEWED;
  }
}
