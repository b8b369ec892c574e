package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Writes the roster: what a successor has to know of the workers.
 *
 * <p>Invariants: one write at a time. A worker gets orders ({@code onRoster}) and renewals ({@code
 * renewable}) only while the newest roster that a successor may read allows them, whether that is
 * durable or still on its way. Belongs to the control thread.
 */
final class RosterWriter {

  /** While a lease runs out, the roster is written this often with what is left of it. */
  private static final long COUNT_DOWN_MILLIS = 1_000;

  /**
   * With so many runs, of some 30 bytes each, a roster is well under the store's largest record.
   */
  private static final int MOST_NAMED_RUNS = 4_000;

  private final CellState cell;
  private boolean stale;
  private boolean writing;
  private long writtenAt;

  RosterWriter(CellState cell) {
    this.cell = cell;
  }

  /** Notes that the roster is out of date. */
  void stale() {
    stale = true;
  }

  /** Writes the roster if it is out of date, unless it is being written. */
  void write(long now) {
    boolean countsDown = now - writtenAt >= COUNT_DOWN_MILLIS && anyLeaseRunsOut(now);
    if (!stale && !countsDown || writing) {
      return;
    }
    stale = false;
    writing = true;
    writtenAt = now;
    List<WorkerView> written = new ArrayList<>(cell.workers.values());
    written.removeIf(worker -> worker.retired);
    List<RosterEntry> entries = entriesOf(written, now);
    List<WorkerView> open = written.stream().filter(WorkerView::open).toList();
    List<WorkerView> renewed = written.stream().filter(each -> !each.runsOutOnRoster).toList();
    cell.output.saveRoster(
        entries,
        () -> {
          writing = false;
          open.forEach(worker -> worker.onRoster = worker.open());
          renewed.forEach(worker -> worker.renewable = true);
          cell.dirty = true;
        });
  }

  /** Makes the entries; from here on a worker whose lease runs out by its entry is not renewed. */
  private List<RosterEntry> entriesOf(List<WorkerView> written, long now) {
    List<RosterEntry> entries = new ArrayList<>();
    int namedRuns = 0;
    for (WorkerView worker : written) {
      RosterEntry entry = entryOf(worker, namedRuns, now);
      namedRuns += entry.runs().map(List::size).orElse(0);
      worker.runsOutOnRoster = !entry.renewed();
      worker.renewable &= entry.renewed();
      entries.add(entry);
    }
    return entries;
  }

  /** Returns what may still run anywhere, from an owner that orders and renews nothing any more. */
  List<RosterEntry> finalRoster(long now) {
    List<RosterEntry> entries = new ArrayList<>();
    for (WorkerView worker : cell.workers.values()) {
      if (!worker.runs.isEmpty()
          || !worker.unsavedEnds.isEmpty()
          || cell.mayHoldUnknownRuns(worker, now)) {
        entries.add(
            new RosterEntry(
                worker.entry(),
                worker.open() ? cell.lastSubmissionNumber() : worker.closedAfter,
                cell.remainingLeaseMillis(worker, now),
                namedRuns(worker, now)));
      }
    }
    return entries;
  }

  private boolean anyLeaseRunsOut(long now) {
    for (WorkerView worker : cell.workers.values()) {
      if (worker.runsOutOnRoster && !worker.retired && worker.leaseEnd() > now) {
        return true;
      }
    }
    return false;
  }

  private RosterEntry entryOf(WorkerView worker, int namedBefore, long now) {
    if (worker.open()) {
      return new RosterEntry(worker.entry(), RosterEntry.OPEN);
    }
    long lease =
        worker.leaseRunsOut(now) ? cell.remainingLeaseMillis(worker, now) : RosterEntry.RENEWED;
    Optional<List<RunKey>> named =
        namedRuns(worker, now).filter(each -> namedBefore + each.size() <= MOST_NAMED_RUNS);
    return new RosterEntry(worker.entry(), worker.closedAfter, lease, named);
  }

  private Optional<List<RunKey>> namedRuns(WorkerView worker, long now) {
    if (cell.mayHoldUnknownRuns(worker, now)) {
      return Optional.empty();
    }
    Set<RunKey> named = new LinkedHashSet<>(worker.runs.keySet());
    named.addAll(worker.unsavedEnds);
    return Optional.of(List.copyOf(named));
  }
}
