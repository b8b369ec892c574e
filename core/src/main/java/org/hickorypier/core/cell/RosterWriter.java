package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Writes the roster, which tells a successor the state of the workers. A worker that has never
 * answered is left out: a successor would count its capacity against the limits of all customers.
 *
 * <p>Invariants: at most one write is in progress. A worker gets orders ({@code onRoster}) and
 * renewals ({@code renewable}) only while the newest roster that a successor may read allows them,
 * whether that roster is durable or its write is in progress. Confined to the control thread.
 */
final class RosterWriter {

  /**
   * Interval at which the roster is written with the remaining time of leases that are expiring.
   */
  private static final long EXPIRY_UPDATE_MILLIS = 1_000;

  /**
   * Maximum number of runs in a roster. At some 30 bytes each, the roster stays well below the
   * store's maximum record size.
   */
  private static final int MAX_LISTED_RUNS = 4_000;

  /**
   * The same for a final roster, which crosses a link between instances in one frame of 1 MiB at
   * most. Each entry of a worker takes some 150 bytes beside its runs.
   */
  private static final int MAX_FINAL_RUNS = 12_000;

  private final CellState cell;
  private boolean stale;
  private boolean writing;
  private long writtenAt;

  RosterWriter(CellState cell) {
    this.cell = cell;
  }

  /** Marks the roster as out of date. */
  void markStale() {
    stale = true;
  }

  /** Writes the roster if it is out of date and no write is in progress. */
  void writeIfStale(long now) {
    boolean expiryUpdateDue = now - writtenAt >= EXPIRY_UPDATE_MILLIS && hasExpiringLease(now);
    if (!stale && !expiryUpdateDue || writing) {
      return;
    }
    stale = false;
    writing = true;
    writtenAt = now;
    List<WorkerView> written = new ArrayList<>(cell.workers.values());
    written.removeIf(worker -> worker.retired || worker.unconfirmed);
    List<RosterEntry> entries = entriesOf(written, now);
    Set<String> writtenIds = new HashSet<>();
    written.forEach(worker -> writtenIds.add(worker.id()));
    cell.removedWorkers.entries(now).stream()
        .filter(entry -> !writtenIds.contains(entry.worker().id()))
        .forEach(entries::add);
    Map<WorkerView, Long> open = new HashMap<>();
    written.stream()
        .filter(WorkerView::isOpen)
        .forEach(worker -> open.put(worker, worker.bornMillis()));
    List<WorkerView> renewed =
        written.stream().filter(each -> !each.leaseExpiringOnRoster).toList();
    cell.output.saveRoster(
        entries,
        () -> {
          writing = false;
          open.forEach(
              (worker, bornMillis) -> {
                if (worker.bornMillis() == bornMillis) {
                  worker.onRoster = worker.isOpen();
                }
              });
          renewed.forEach(worker -> worker.renewable = true);
          cell.dirty = true;
        });
  }

  /**
   * Creates the entries. From here on a worker whose lease expires according to its entry is not
   * renewed.
   */
  private List<RosterEntry> entriesOf(List<WorkerView> written, long now) {
    List<RosterEntry> entries = new ArrayList<>();
    int listedRuns = 0;
    for (WorkerView worker : written) {
      RosterEntry entry = entryOf(worker, listedRuns, now);
      listedRuns += entry.runs().map(List::size).orElse(0);
      worker.leaseExpiringOnRoster = !entry.renewed();
      worker.formerLeaseOnRoster = entry.formerLeaseMillis() > 0;
      worker.renewable &= entry.renewed();
      entries.add(entry);
    }
    return entries;
  }

  /**
   * Returns every worker that may still have runs, for an owner that sends no more orders or
   * renewals. The runs of a worker that would exceed the limit are left out, so that the successor
   * waits for its answer.
   */
  List<RosterEntry> finalRoster(long now) {
    List<RosterEntry> entries = new ArrayList<>();
    int listedRuns = 0;
    for (WorkerView worker : cell.workers.values()) {
      if (!worker.runs.isEmpty()
          || !worker.unsavedEnds.isEmpty()
          || cell.isUnresolved(worker, now)) {
        int listedBefore = listedRuns;
        Optional<List<RunKey>> listed =
            possibleRuns(worker, now).filter(each -> listedBefore + each.size() <= MAX_FINAL_RUNS);
        listedRuns += listed.map(List::size).orElse(0);
        entries.add(
            expiringEntry(
                worker,
                worker.rosterEntry(),
                worker.isOpen() ? cell.lastSubmissionNumber() : worker.closedAfter,
                listed,
                now));
      }
    }
    return entries;
  }

  private boolean hasExpiringLease(long now) {
    for (WorkerView worker : cell.workers.values()) {
      boolean expiring = worker.leaseExpiringOnRoster && cell.remainingLeaseMillis(worker, now) > 0;
      if (!worker.retired && (expiring || worker.formerLeaseMillis(now) > 0)) {
        return true;
      }
    }
    return false;
  }

  private RosterEntry entryOf(WorkerView worker, int listedBefore, long now) {
    WorkerEntry described = worker.rosterEntry();
    worker.rosterCapacity = described.capacity();
    if (worker.isOpen()) {
      return new RosterEntry(described, RosterEntry.OPEN)
          .withFormerLease(worker.formerLeaseMillis(now));
    }
    Optional<List<RunKey>> listed =
        possibleRuns(worker, now).filter(each -> listedBefore + each.size() <= MAX_LISTED_RUNS);
    return worker.isLeaseExpiring(now)
        ? expiringEntry(worker, described, worker.closedAfter, listed, now)
        : new RosterEntry(described, worker.closedAfter, RosterEntry.RENEWED, listed)
            .withFormerLease(worker.formerLeaseMillis(now));
  }

  /** Returns the entry of a worker whose lease is left to expire. */
  private RosterEntry expiringEntry(
      WorkerView worker,
      WorkerEntry described,
      long closedAfter,
      Optional<List<RunKey>> listed,
      long now) {
    long longestMillis = cell.remainingLeaseMillis(worker, now);
    List<RunKey> unheard = worker.runsBeyondLease(cell.timings, now);
    boolean separate = listed.isPresent() && !unheard.isEmpty();
    long leaseMillis = separate ? Math.max(0, worker.leaseEnd() - now) : longestMillis;
    return new RosterEntry(described, closedAfter, leaseMillis, listed)
        .withFormerLease(worker.formerLeaseMillis(now))
        .withUnheardRuns(separate ? new UnheardRuns(unheard, longestMillis) : UnheardRuns.NONE);
  }

  private Optional<List<RunKey>> possibleRuns(WorkerView worker, long now) {
    if (cell.isUnresolved(worker, now)) {
      return Optional.empty();
    }
    Set<RunKey> possible = new LinkedHashSet<>(worker.runs.keySet());
    possible.addAll(worker.unsavedEnds);
    return Optional.of(List.copyOf(possible));
  }
}
