package org.hickorypier.core.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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

  private final CellState cell;
  private final RunBook runs;
  private final RunAdoption adoption;

  /** The last submission that an earlier owner may have taken. */
  private final long lastOfEarlierOwners;

  private final RosterWriter roster;

  WorkerBook(CellState cell, RunBook runs, RunAdoption adoption) {
    this.cell = cell;
    this.runs = runs;
    this.adoption = adoption;
    this.lastOfEarlierOwners = cell.lastSubmissionNumber();
    this.roster = new RosterWriter(cell);
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
    return restored.renewed() ? cell.timings.silentWorkerTimeoutMillis() : restored.leaseMillis();
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
      roster.stale();
    } else if (entry.bornMillis() > worker.bornMillis) {
      // Only its own report tells what the new life runs; until then it gets nothing.
      unanswered(worker, now);
      if (!worker.entry().address().equals(entry.address())) {
        roster.stale();
      }
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
          cell.remainingLeaseMillis(worker, now));
    }
    worker.unanswered(now);
  }

  void tick(long now) {
    closeAndOpen(now);
    roster.write(now);
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
          worker.runs.isEmpty()
              && worker.unsavedEnds.isEmpty()
              && !cell.mayHoldUnknownRuns(worker, now);
      if (worker.silent && empty && !worker.listed) {
        gone.add(worker.id());
      }
    }
    if (!gone.isEmpty()) {
      cell.log.event(PART, "workers-gone", "workers", gone);
      cell.workers.keySet().removeAll(gone);
      roster.stale();
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
        worker.closedAfter = worker.heard ? cell.lastSubmissionNumber() : lastOfEarlierOwners;
        worker.onRoster = false;
        roster.stale();
      } else if (!worker.open() && worker.heard && !worker.closing(now)) {
        worker.closedAfter = RosterEntry.OPEN;
        worker.onRoster = false;
        roster.stale();
      }
      boolean retired = !worker.open() && worker.empty() && !cell.mayHoldUnknownRuns(worker, now);
      if (retired != worker.retired) {
        worker.retired = retired;
        roster.stale();
      }
      if (!worker.open() && !retired && worker.leaseRunsOut(now) != worker.runsOutOnRoster) {
        roster.stale();
      }
    }
  }

  /** Returns what may still run anywhere, from an owner that orders and renews nothing any more. */
  List<RosterEntry> finalRoster(long now) {
    return roster.finalRoster(now);
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
    roster.stale();
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
}
