package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Knows which workers there are: those listed, those on the roster of an earlier owner, and those
 * that may still hold runs.
 *
 * <p>Invariant: a worker that may hold runs is on the durable roster, so that a successor asks it
 * even if it is not listed any more. Belongs to the control thread.
 */
final class WorkerBook {

  private static final String PART = "cell";

  /** While a lease runs out, the roster is written this often with what is left of it. */
  private static final long COUNT_DOWN_MILLIS = 1_000;

  /**
   * With so many runs, of some 30 bytes each, a roster is well under the store's largest record.
   */
  private static final int MOST_NAMED_RUNS = 4_000;

  private final CellState cell;
  private final RunBook runs;
  private final RunAdoption adoption;

  /** The last submission that an earlier owner may have taken. */
  private final long lastOfEarlierOwners;

  private boolean rosterStale;
  private boolean rosterWriting;
  private long rosterWrittenAt;

  WorkerBook(CellState cell, RunBook runs, RunAdoption adoption) {
    this.cell = cell;
    this.runs = runs;
    this.adoption = adoption;
    this.lastOfEarlierOwners = cell.lastNumber();
  }

  void restoreRoster(Collection<RosterEntry> entries) {
    for (RosterEntry restored : entries) {
      WorkerEntry entry = restored.worker();
      WorkerView worker = new WorkerView(entry);
      worker.onRoster = true;
      worker.closedAfter = restored.closedAfter();
      worker.renewable = restored.renewed();
      worker.runsOutOnRoster = !restored.renewed();
      worker.earlierLeasesEnd = cell.takenOverAt + longestLease(restored);
      worker.runsUnknown = restored.runs().isEmpty();
      cell.workers.put(entry.id(), worker);
      for (RunKey run : restored.runs().orElse(List.of())) {
        adoption.named(worker, run, cell.takenOverAt);
      }
    }
  }

  private long longestLease(RosterEntry restored) {
    return restored.renewed() ? cell.terms.silentWorkerMillis() : restored.leaseMillis();
  }

  void listed(Map<String, WorkerEntry> entries, long now) {
    entries.values().forEach(entry -> listed(entry, now));
    for (WorkerView worker : cell.workers.values()) {
      if (worker.listed && !entries.containsKey(worker.id())) {
        worker.listed = false;
        cell.log.event(PART, "worker-unlisted", "worker", worker.id(), "silent", worker.silent);
      }
    }
    cell.dirty = true;
  }

  private void listed(WorkerEntry entry, long now) {
    WorkerView worker = cell.workers.get(entry.id());
    if (worker == null) {
      worker = new WorkerView(entry);
      cell.workers.put(entry.id(), worker);
      cell.log.event(PART, "worker-listed", "worker", entry.id(), "address", entry.address());
      rosterStale = true;
    } else if (entry.bornMillis() > worker.bornMillis) {
      // Only its own report tells what the new life runs; until then it gets nothing.
      unanswered(worker, now);
      rosterStale |= !worker.entry().address().equals(entry.address());
    }
    if (entry.draining() && !worker.entry().draining()) {
      cell.log.event(
          PART, "worker-draining", "worker", entry.id(), "remaining_ms", entry.remainingMillis());
    }
    worker.departed = false;
    worker.update(entry);
  }

  void departed(Collection<String> ids, long now) {
    for (String id : ids) {
      WorkerView worker = cell.workers.get(id);
      if (worker != null) {
        worker.departed = true;
      }
    }
    settleLost(now);
  }

  void unanswered(WorkerView worker, long now) {
    if (!worker.silent) {
      long heardAgo = worker.heard ? now - worker.heardAt : -1;
      cell.log.event(
          PART,
          "worker-silent",
          "worker",
          worker.id(),
          "runs",
          worker.runs.size(),
          "heard_ms_ago",
          heardAgo,
          "may_run_ms",
          cell.mayRunMillis(worker, now));
    }
    worker.unanswered(now);
  }

  void tick(long now) {
    closeAndOpen(now);
    writeRoster(now);
    settleLost(now);
  }

  private void settleLost(long now) {
    Set<String> gone = new HashSet<>();
    for (WorkerView worker : cell.workers.values()) {
      if (worker.silent && worker.departed) {
        runs.workerLeft(worker, now);
      } else if (worker.silent && now > worker.leaseEnd()) {
        runs.leaseExpired(worker, now);
      }
      boolean empty =
          worker.runs.isEmpty() && worker.unsavedEnds.isEmpty() && !cell.unresolved(worker, now);
      if (worker.silent && empty && !worker.listed) {
        gone.add(worker.id());
      }
    }
    if (!gone.isEmpty()) {
      cell.log.event(PART, "workers-gone", "workers", gone);
      cell.workers.keySet().removeAll(gone);
      rosterStale = true;
    }
  }

  /**
   * Closes workers that get no orders any more, and opens them again.
   *
   * <p>A successor waits for a worker that it cannot hear, with everything that the worker may run.
   * So the roster names the runs of a worker that gets no orders, says how long its lease lasts if
   * it is not renewed, and leaves the worker out once it is empty. A successor may rely on that
   * since a worker gets orders and renewals only after a roster that says so is durable.
   */
  private void closeAndOpen(long now) {
    for (WorkerView worker : cell.workers.values()) {
      if (worker.open() && worker.closing(now)) {
        worker.closedAfter = worker.heard ? cell.lastNumber() : lastOfEarlierOwners;
        worker.onRoster = false;
        rosterStale = true;
      } else if (!worker.open() && worker.heard && !worker.closing(now)) {
        worker.closedAfter = RosterEntry.OPEN;
        worker.onRoster = false;
        rosterStale = true;
      }
      boolean retired = !worker.open() && worker.empty() && !cell.unresolved(worker, now);
      if (retired != worker.retired) {
        worker.retired = retired;
        rosterStale = true;
      }
      rosterStale |=
          !worker.open() && !retired && leaseRunsOut(worker, now) != worker.runsOutOnRoster;
    }
  }

  /** Tells whether a worker gets no renewal: it was never heard, or not for long. */
  private static boolean leaseRunsOut(WorkerView worker, long now) {
    return !worker.heard || worker.silentForLong(now);
  }

  private void writeRoster(long now) {
    boolean countsDown = now - rosterWrittenAt >= COUNT_DOWN_MILLIS && anyLeaseRunsOut(now);
    if (!rosterStale && !countsDown || rosterWriting) {
      return;
    }
    rosterStale = false;
    rosterWriting = true;
    rosterWrittenAt = now;
    List<WorkerView> written = new ArrayList<>(cell.workers.values());
    written.removeIf(worker -> worker.retired);
    List<RosterEntry> entries = entriesOf(written, now);
    List<WorkerView> open = written.stream().filter(WorkerView::open).toList();
    List<WorkerView> renewed = written.stream().filter(each -> !each.runsOutOnRoster).toList();
    cell.output.saveRoster(
        entries,
        () -> {
          rosterWriting = false;
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
      if (!worker.runs.isEmpty() || !worker.unsavedEnds.isEmpty() || cell.unresolved(worker, now)) {
        entries.add(
            new RosterEntry(
                worker.entry(),
                worker.open() ? cell.lastNumber() : worker.closedAfter,
                cell.mayRunMillis(worker, now),
                namedRuns(worker, now)));
      }
    }
    return entries;
  }

  /**
   * Takes the final roster of the owner before. It holds for workers that have not been heard: what
   * they run was ordered by that owner or an earlier one.
   */
  void formerOwnerEnded(Collection<RosterEntry> entries, long now) {
    Map<String, RosterEntry> byWorker = new HashMap<>();
    entries.forEach(entry -> byWorker.put(entry.worker().id(), entry));
    for (WorkerView worker : cell.workers.values()) {
      if (!worker.heard) {
        RosterEntry entry = byWorker.get(worker.id());
        if (entry == null) {
          // An empty worker may hold a lease all the same.
          replaceRuns(worker, List.of(), now);
        } else {
          worker.earlierLeasesEnd = Math.min(worker.earlierLeasesEnd, now + entry.leaseMillis());
          entry.runs().ifPresent(named -> replaceRuns(worker, named, now));
        }
      }
    }
    rosterStale = true;
    cell.dirty = true;
  }

  private void replaceRuns(WorkerView worker, List<RunKey> named, long now) {
    worker.runsUnknown = false;
    for (Run run : CellState.copy(worker.runs.values())) {
      if (!named.contains(run.key)) {
        runs.gone(run, now);
      }
    }
    named.forEach(run -> adoption.named(worker, run, now));
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
    long lease = leaseRunsOut(worker, now) ? cell.mayRunMillis(worker, now) : RosterEntry.RENEWED;
    Optional<List<RunKey>> named =
        namedRuns(worker, now).filter(each -> namedBefore + each.size() <= MOST_NAMED_RUNS);
    return new RosterEntry(worker.entry(), worker.closedAfter, lease, named);
  }

  private Optional<List<RunKey>> namedRuns(WorkerView worker, long now) {
    if (cell.unresolved(worker, now)) {
      return Optional.empty();
    }
    Set<RunKey> named = new LinkedHashSet<>(worker.runs.keySet());
    named.addAll(worker.unsavedEnds);
    return Optional.of(List.copyOf(named));
  }
}
