package org.hickorypier.core.cell;

/**
 * A worker that may hold runs, as a successor finds it in the journal.
 *
 * <p>Immutable.
 *
 * @param worker what the worker said of itself
 * @param closedAfter the number of the last submission of which it may hold runs, since it gets no
 *     orders any more; {@link #OPEN} while it may get orders
 */
public record RosterEntry(WorkerEntry worker, long closedAfter) {

  /** The worker may get orders, for any submission. */
  public static final long OPEN = -1;
}
