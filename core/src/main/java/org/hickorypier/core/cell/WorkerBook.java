package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Collection;
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
  private boolean rosterStale;
  private boolean rosterWriting;

  WorkerBook(CellState cell, RunBook runs) {
    this.cell = cell;
    this.runs = runs;
  }

  void restoreRoster(Collection<RosterEntry> entries) {
    for (RosterEntry restored : entries) {
      WorkerEntry entry = restored.worker();
      WorkerView worker = new WorkerView(entry);
      worker.onRoster = true;
      worker.ofEarlierOwner = true;
      worker.closedAfter = restored.closedAfter();
      cell.workers.put(entry.id(), worker);
    }
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
    worker.update(entry);
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
    worker.silent = true;
  }

  void tick(long now) {
    closeAndOpen(now);
    writeRoster();
    settleLost(now);
  }

  private void settleLost(long now) {
    Set<String> gone = new HashSet<>();
    for (WorkerView worker : cell.workers.values()) {
      if (worker.silent && worker.heard && now > worker.leaseEnd()) {
        runs.leaseExpired(worker, now);
      }
      boolean empty = worker.runs.isEmpty() && !cell.unresolved(worker, now);
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
   * <p>Failure: a worker drains and leaves, and the owner is lost soon after. Symptom: the
   * successor waits for that worker, up to 9.9 s, with all that it took over, since it might run
   * any of it; all checks of 11 s came too late on one day. Safeguard: the roster tells after which
   * submission the worker was closed, and leaves it out once it is empty; what came later does not
   * wait for it. It is enough because a worker gets nothing before the roster that says that it is
   * open is durable.
   */
  private void closeAndOpen(long now) {
    for (WorkerView worker : cell.workers.values()) {
      if (!worker.heard) {
        continue;
      }
      boolean closing = worker.closing(now);
      if (closing == worker.open()) {
        worker.closedAfter = closing ? cell.lastNumber() : RosterEntry.OPEN;
        worker.onRoster = false;
        rosterStale = true;
      }
      boolean retired = closing && worker.empty();
      if (retired != worker.retired) {
        worker.retired = retired;
        rosterStale = true;
      }
    }
  }

  private void writeRoster() {
    if (!rosterStale || rosterWriting) {
      return;
    }
    rosterStale = false;
    rosterWriting = true;
    List<WorkerView> written = new ArrayList<>(cell.workers.values());
    written.removeIf(worker -> worker.retired);
    List<RosterEntry> entries =
        written.stream()
            .map(worker -> new RosterEntry(worker.entry(), worker.closedAfter))
            .toList();
    written.removeIf(worker -> !worker.open());
    cell.output.saveRoster(
        entries,
        () -> {
          rosterWriting = false;
          written.forEach(worker -> worker.onRoster = worker.open());
          cell.dirty = true;
        });
  }
}
