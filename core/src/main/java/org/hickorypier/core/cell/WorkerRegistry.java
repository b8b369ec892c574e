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
final class WorkerRegistry {

  private static final String PART = "cell";

  private final CellState cell;
  private final RunController runs;
  private final RunAdoption adoption;

  /** The last submission that an earlier owner may have taken. */
  private final long lastSubmissionOfEarlierOwners;

  private final RosterWriter roster;

  WorkerRegistry(CellState cell, RunController runs, RunAdoption adoption) {
    this.cell = cell;
    this.runs = runs;
    this.adoption = adoption;
    this.lastSubmissionOfEarlierOwners = cell.lastNumber();
    this.roster = new RosterWriter(cell);
  }

  void restoreRoster(Collection<RosterEntry> entries) {
    for (RosterEntry restored : entries) {
      WorkerEntry entry = restored.worker();
      WorkerView worker = new WorkerView(entry);
      worker.onRoster = true;
      worker.closedAfter = restored.closedAfter();
      worker.renewable = restored.renewed();
      worker.leaseExpiringOnRoster = !restored.renewed();
      worker.earlierLeasesEnd = cell.takenOverAt + longestLeaseMillis(restored);
      worker.runsUnknown = restored.runs().isEmpty();
      cell.workers.put(entry.id(), worker);
      for (RunKey run : restored.runs().orElse(List.of())) {
        adoption.adoptListed(worker, run, cell.takenOverAt);
      }
    }
  }

  private long longestLeaseMillis(RosterEntry restored) {
    return restored.renewed() ? cell.terms.silentWorkerMillis() : restored.leaseMillis();
  }

  void handleListed(Map<String, WorkerEntry> entries, long now) {
    entries.values().forEach(entry -> handleListed(entry, now));
    for (WorkerView worker : cell.workers.values()) {
      if (worker.listed && !entries.containsKey(worker.id())) {
        worker.listed = false;
        cell.log.event(PART, "worker-unlisted", "worker", worker.id(), "silent", worker.silent);
      }
    }
    cell.dirty = true;
  }

  private void handleListed(WorkerEntry entry, long now) {
    WorkerView worker = cell.workers.get(entry.id());
    if (worker == null) {
      worker = new WorkerView(entry);
      cell.workers.put(entry.id(), worker);
      cell.log.event(PART, "worker-listed", "worker", entry.id(), "address", entry.address());
      roster.markStale();
    } else if (entry.bornMillis() > worker.bornMillis) {
      // Only its own report tells what the new life runs; until then it gets nothing.
      handleMissingAnswer(worker, now);
      if (!worker.entry().address().equals(entry.address())) {
        roster.markStale();
      }
    }
    if (entry.draining() && !worker.entry().draining()) {
      cell.log.event(
          PART, "worker-draining", "worker", entry.id(), "remaining_ms", entry.remainingMillis());
    }
    worker.departed = false;
    worker.update(entry);
  }

  void handleDepartures(Collection<String> ids, long now) {
    for (String id : ids) {
      WorkerView worker = cell.workers.get(id);
      if (worker != null) {
        worker.departed = true;
      }
    }
    removeLostWorkers(now);
  }

  void handleMissingAnswer(WorkerView worker, long now) {
    if (!worker.silent) {
      long heardAgo = worker.hasAnswered ? now - worker.lastAnswerAt : -1;
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
    worker.recordMissingAnswer(now);
  }

  void tick(long now) {
    closeAndOpen(now);
    roster.writeIfStale(now);
    removeLostWorkers(now);
  }

  private void removeLostWorkers(long now) {
    Set<String> gone = new HashSet<>();
    for (WorkerView worker : cell.workers.values()) {
      if (worker.silent && worker.departed) {
        runs.handleDeparture(worker, now);
      } else if (worker.silent && now > worker.leaseEnd()) {
        runs.handleLeaseExpiry(worker, now);
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
      roster.markStale();
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
      if (worker.isOpen() && worker.shouldClose(now)) {
        worker.closedAfter = worker.hasAnswered ? cell.lastNumber() : lastSubmissionOfEarlierOwners;
        worker.onRoster = false;
        roster.markStale();
      } else if (!worker.isOpen() && worker.hasAnswered && !worker.shouldClose(now)) {
        worker.closedAfter = RosterEntry.OPEN;
        worker.onRoster = false;
        roster.markStale();
      }
      boolean retired = !worker.isOpen() && worker.isEmpty() && !cell.unresolved(worker, now);
      if (retired != worker.retired) {
        worker.retired = retired;
        roster.markStale();
      }
      if (!worker.isOpen()
          && !retired
          && worker.isLeaseExpiring(now) != worker.leaseExpiringOnRoster) {
        roster.markStale();
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
  void applyFinalRoster(Collection<RosterEntry> entries, long now) {
    Map<String, RosterEntry> byWorker = new HashMap<>();
    entries.forEach(entry -> byWorker.put(entry.worker().id(), entry));
    for (WorkerView worker : cell.workers.values()) {
      if (!worker.hasAnswered) {
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
    roster.markStale();
    cell.dirty = true;
  }

  private void replaceRuns(WorkerView worker, List<RunKey> named, long now) {
    worker.runsUnknown = false;
    for (Run run : CellState.copy(worker.runs.values())) {
      if (!named.contains(run.key)) {
        runs.removeRun(run, now);
      }
    }
    named.forEach(run -> adoption.adoptListed(worker, run, now));
  }
}
