package org.hickorypier.core.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Registry of the workers: those on the worker list, those on the roster of an earlier owner, and
 * those that may still have runs.
 *
 * <p>Invariant: a worker that may have runs is on the durable roster, so that a successor contacts
 * it even if it is no longer on the worker list. Confined to the control thread.
 */
final class WorkerRegistry {

  private static final String PART = "cell";

  private final CellState cell;
  private final RunController runs;
  private final RunAdoption adoption;
  private final CrashTracker crashTracker;

  /** The number of the last submission that an earlier owner may have accepted. */
  private final long lastSubmissionOfEarlierOwners;

  private final RosterWriter roster;

  WorkerRegistry(
      CellState cell, RunController runs, RunAdoption adoption, CrashTracker crashTracker) {
    this.cell = cell;
    this.crashTracker = crashTracker;
    this.runs = runs;
    this.adoption = adoption;
    this.lastSubmissionOfEarlierOwners = cell.lastSubmissionNumber();
    this.roster = new RosterWriter(cell);
  }

  void restoreRoster(Collection<RosterEntry> entries) {
    for (RosterEntry restored : entries) {
      WorkerEntry entry = restored.worker();
      WorkerView worker = WorkerView.fromRoster(entry, cell.ownerTokens.latest());
      worker.onRoster = true;
      worker.rosterCapacity = entry.capacity();
      worker.closedAfter = restored.closedAfter();
      worker.renewable = restored.renewed();
      worker.leaseExpiringOnRoster = !restored.renewed();
      worker.earlierLeasesEnd = cell.takenOverAt + longestLeaseMillis(restored);
      worker.formerLeasesEnd = cell.takenOverAt + restored.formerLeaseMillis();
      worker.formerLeaseOnRoster = restored.formerLeaseMillis() > 0;
      worker.mayTakeFormerCalls = worker.formerLeaseOnRoster;
      worker.runsUnknown = restored.runs().isEmpty();
      worker.expectGrantsUntil(
          cell.takenOverAt + (restored.renewed() ? cell.timings.ownershipProofMillis() : 0));
      cell.workers.put(entry.id(), worker);
      for (RunKey run : restored.runs().orElse(List.of())) {
        adoption.adoptListed(worker, run, cell.takenOverAt);
      }
      expectUnheardRuns(worker, restored.unheardRuns(), cell.takenOverAt);
    }
  }

  private static void expectUnheardRuns(WorkerView worker, UnheardRuns unheard, long now) {
    for (RunKey key : unheard.runs()) {
      Run run = worker.runs.get(key);
      if (run != null) {
        run.unheardEnd = now + unheard.leaseMillis();
      }
    }
  }

  private long longestLeaseMillis(RosterEntry restored) {
    return restored.renewed() ? cell.timings.silentWorkerTimeoutMillis() : restored.leaseMillis();
  }

  void handleListed(Map<String, WorkerEntry> entries, long now) {
    cell.listedAt = now;
    IndependentActions listings = new IndependentActions();
    for (WorkerEntry entry : entries.values()) {
      try {
        handleListed(entry, now);
      } catch (RuntimeException error) {
        listings.addFailure("listing of " + entry.id(), error);
      }
    }
    for (WorkerView worker : cell.workers.values()) {
      if (worker.listed && !entries.containsKey(worker.id())) {
        worker.listed = false;
        cell.log.event(PART, "worker-unlisted", "worker", worker.id(), "silent", worker.silent);
      }
    }
    cell.dirty = true;
    listings.throwIfFailed();
  }

  private void handleListed(WorkerEntry entry, long now) {
    WorkerView worker = cell.workers.get(entry.id());
    if (worker == null) {
      worker = new WorkerView(entry, cell.ownerTokens.next());
      if (cell.removedWorkers.contains(entry.id())) {
        worker.expectFormerCalls(cell.timings, now);
      }
      cell.workers.put(entry.id(), worker);
      worker.unconfirmed = true;
      cell.log.event(PART, "worker-listed", "worker", entry.id(), "address", entry.address());
    } else if (entry.bornMillis() > worker.bornMillis()) {
      // Only its own report says what a restarted worker runs; until then it gets no orders.
      handleMissingAnswer(worker, now);
      worker.expectUnheardIncarnation(entry.bornMillis(), cell, now);
      if (!worker.entry().address().equals(entry.address())) {
        roster.markStale();
      }
    }
    if (entry.draining() && !worker.entry().draining()) {
      cell.log.event(
          PART, "worker-draining", "worker", entry.id(), "remaining_ms", entry.remainingMillis());
    }
    if (worker.hasAnswered
        && !worker.retired
        && !entry.capacity().fitsInto(worker.rosterCapacity)) {
      roster.markStale();
    }
    worker.departed = false;
    worker.update(entry, now);
    worker.evacuated = cell.evacuations.includes(entry.dataCentre());
    crashTracker.handleListed(entry);
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
      long answerAgeMillis = worker.hasAnswered ? now - worker.lastAnswerAt : -1;
      cell.log.event(
          PART,
          "worker-silent",
          "worker",
          worker.id(),
          "runs",
          worker.runs.size(),
          "heard_ms_ago",
          answerAgeMillis,
          "may_run_ms",
          cell.remainingLeaseMillis(worker, now));
    }
    worker.recordMissingAnswer(now);
  }

  void tick(long now) {
    closeAndOpen(now);
    roster.writeIfStale(now);
    removeLostWorkers(now);
  }

  private void removeLostWorkers(long now) {
    if (cell.removedWorkers.expire(now)) {
      roster.markStale();
    }
    Set<String> goneIds = new HashSet<>();
    for (WorkerView worker : cell.workers.values()) {
      if (worker.silent && worker.departed) {
        runs.handleDeparture(worker, now);
      } else if (worker.silent) {
        loseRuns(worker, now);
      }
      boolean empty =
          worker.runs.isEmpty() && worker.unsavedEnds.isEmpty() && !cell.isUnresolved(worker, now);
      if (worker.silent && empty && !worker.listed) {
        goneIds.add(worker.id());
        recordRemoved(worker, now);
      }
    }
    if (!goneIds.isEmpty()) {
      cell.log.event(PART, "workers-gone", "workers", goneIds);
      cell.workers.keySet().removeAll(goneIds);
      roster.markStale();
    }
  }

  /**
   * Records the losses once the leases that were granted to the worker have expired, and removes
   * the runs once none of them can be active on a later incarnation either.
   */
  private void loseRuns(WorkerView worker, long now) {
    if (now > worker.grantedLeaseEnd() && worker.isSilentForLong(now)) {
      List<Run> lost = worker.runs.values().stream().filter(run -> !run.lossCounted).toList();
      if (!lost.isEmpty()) {
        crashTracker.handleLoss(worker, lost, "lease-expired", worker.lostAt(now), false, now);
        lost.forEach(run -> run.lossCounted = true);
      }
    }
    List<Run> expired =
        worker.runs.values().stream()
            .filter(run -> now > worker.runEnd(run, cell.timings, now))
            .toList();
    if (!expired.isEmpty()) {
      crashTracker.handleExpiry(expired, now);
      runs.handleLeaseExpiry(worker, expired, now);
    }
  }

  private void recordRemoved(WorkerView worker, long now) {
    long leasesEnd =
        worker.hasAnswered
            ? now + cell.timings.longestFormerCallMillis()
            : worker.callsToIncarnationsEnd(cell.timings);
    long closedAfter = worker.isOpen() ? cell.lastSubmissionNumber() : worker.closedAfter;
    if (leasesEnd > now) {
      cell.removedWorkers.add(worker, closedAfter, leasesEnd);
    }
  }

  /**
   * Closes workers that get no more orders, and reopens them.
   *
   * <p>A successor waits for a worker that it cannot reach, with every task that the worker may
   * run. For a worker that gets no orders, the roster therefore lists the runs and says how long
   * the lease lasts without renewal; it omits the worker once that is empty. A successor may rely
   * on this since a worker gets orders and renewals only after a roster that says so is durable.
   */
  private void closeAndOpen(long now) {
    for (WorkerView worker : cell.workers.values()) {
      if (worker.unconfirmed && worker.hasAnswered) {
        worker.unconfirmed = false;
        roster.markStale();
      }
      if (worker.isOpen() && worker.shouldClose(now)) {
        if (worker.isSilentForLong(now) && !TrialWorkers.isAlone(worker)) {
          worker.lossRecorded = true;
          cell.workerLosses.record(worker, worker.silentSince, now);
        }
        worker.closedAfter =
            worker.hasAnswered ? cell.lastSubmissionNumber() : lastSubmissionOfEarlierOwners;
        worker.onRoster = false;
        roster.markStale();
      } else if (!worker.isOpen() && worker.hasAnswered && !worker.shouldClose(now)) {
        worker.closedAfter = RosterEntry.OPEN;
        worker.onRoster = false;
        roster.markStale();
      }
      boolean retired =
          !worker.isOpen()
              && worker.isEmpty()
              && worker.callsToIncarnationsEnd(cell.timings) <= now
              && !cell.isUnresolved(worker, now);
      if (retired != worker.retired) {
        worker.retired = retired;
        roster.markStale();
      }
      if (!worker.isOpen()
          && !retired
          && worker.isLeaseExpiring(now) != worker.leaseExpiringOnRoster) {
        roster.markStale();
      }
      boolean onRoster = !retired && !worker.unconfirmed;
      if (onRoster && (worker.formerLeaseMillis(now) > 0) != worker.formerLeaseOnRoster) {
        roster.markStale();
      }
    }
  }

  /**
   * Returns every worker that may still have runs, for an owner that sends no more orders or
   * renewals.
   */
  List<RosterEntry> finalRoster(long now) {
    return roster.finalRoster(now);
  }

  /**
   * Applies the final roster of the former owner. It is valid for workers that have not answered
   * this owner yet: their runs were ordered by the former owner or an earlier one.
   */
  void applyFinalRoster(Collection<RosterEntry> entries, long now) {
    Map<String, RosterEntry> byWorker = new HashMap<>();
    entries.forEach(entry -> byWorker.put(entry.worker().id(), entry));
    for (WorkerView worker : cell.workers.values()) {
      if (!worker.hasAnswered) {
        worker.limitUnheardLeases(now + cell.timings.longestFormerLeaseMillis());
        RosterEntry entry = byWorker.get(worker.id());
        if (entry == null) {
          // A worker without runs may still hold a lease.
          replaceRuns(worker, List.of(), now);
        } else {
          worker.earlierLeasesEnd = now + entry.leaseMillis();
          worker.formerLeasesEnd = Math.min(worker.formerLeasesEnd, now + entry.leaseMillis());
          entry.runs().ifPresent(listed -> replaceRuns(worker, listed, now));
          expectUnheardRuns(worker, entry.unheardRuns(), now);
        }
      }
    }
    roster.markStale();
    cell.dirty = true;
  }

  private void replaceRuns(WorkerView worker, List<RunKey> listed, long now) {
    worker.runsUnknown = false;
    Set<RunKey> kept = new HashSet<>(listed);
    for (Run run : CellState.copy(worker.runs.values())) {
      if (!kept.contains(run.key)) {
        runs.removeRun(run, now);
      }
    }
    listed.forEach(run -> adoption.adoptListed(worker, run, now));
  }
}
