package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The workers that were removed from the cell a short while ago. Calls to them may still be carried
 * out by a later incarnation, which then holds a lease that its owner has to count, whether that is
 * this owner or a successor that reads of it on the roster.
 *
 * <p>Confined to the control thread.
 */
final class RemovedWorkers {

  /**
   * A removed worker.
   *
   * @param entry its entry on the roster
   * @param leasesEnd when every lease that such a call may grant has expired, on the owner's
   *     monotonic clock, in milliseconds
   */
  private record Removed(RosterEntry entry, long leasesEnd) {}

  private final Map<String, Removed> byId = new HashMap<>();

  /**
   * Adds a worker that can no longer have runs.
   *
   * @param leasesEnd when every lease that a call to it may grant has expired, on the owner's
   *     monotonic clock, in milliseconds
   */
  void add(WorkerView worker, long closedAfter, long leasesEnd) {
    RosterEntry entry =
        new RosterEntry(worker.rosterEntry(), closedAfter, 0, Optional.of(List.of()));
    byId.put(worker.id(), new Removed(entry, leasesEnd));
  }

  /** Returns whether calls to a removed worker may still be carried out. */
  boolean contains(String id) {
    return byId.containsKey(id);
  }

  /** Forgets the workers of which every lease has expired, and returns whether there were any. */
  boolean expire(long now) {
    return byId.values().removeIf(removed -> removed.leasesEnd() <= now);
  }

  /** Returns the entries for the roster, with the time for which such leases may last. */
  List<RosterEntry> entries(long now) {
    return byId.values().stream()
        .map(removed -> removed.entry().withFormerLease(Math.max(0, removed.leasesEnd() - now)))
        .toList();
  }
}
