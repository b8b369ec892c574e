package org.hickorypier.core.cell;

import java.util.List;
import java.util.Optional;

/**
 * A worker that may hold runs, as a successor finds it in the journal or is told by a former owner.
 *
 * <p>Immutable.
 *
 * @param worker what the worker said of itself
 * @param closedAfter the number of the last submission of which it may hold runs, since it gets no
 *     orders any more; {@link #OPEN} while it may get orders
 * @param leaseMillis how long after the writing of this entry a lease on the worker may last, in
 *     milliseconds; {@link #RENEWED} while the writer goes on renewing it
 * @param runs all runs that may be there; empty if the writer does not know them
 */
public record RosterEntry(
    WorkerEntry worker, long closedAfter, long leaseMillis, Optional<List<RunKey>> runs) {

  /** The worker may get orders, for any submission. */
  public static final long OPEN = -1;

  /** The writer may renew the worker's lease after it has written the entry. */
  public static final long RENEWED = -1;

  /** Copies the list, so that the record stays as it is. */
  public RosterEntry {
    runs = runs.map(List::copyOf);
  }

  /**
   * Creates the entry of a worker whose lease is renewed and whose runs the writer does not name.
   *
   * @param worker what the worker said of itself
   * @param closedAfter as of the record
   */
  public RosterEntry(WorkerEntry worker, long closedAfter) {
    this(worker, closedAfter, RENEWED, Optional.empty());
  }

  /**
   * Returns the entry as it is some time later.
   *
   * @param millis the time, in milliseconds
   * @return an entry with that much less of the lease, if it is not renewed
   */
  public RosterEntry afterElapsed(long millis) {
    return renewed()
        ? this
        : new RosterEntry(worker, closedAfter, Math.max(0, leaseMillis - millis), runs);
  }

  /**
   * Tells whether the writer may renew the worker's lease later on.
   *
   * @return false if the lease runs out
   */
  public boolean renewed() {
    return leaseMillis == RENEWED;
  }
}
