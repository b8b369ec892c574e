package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Takes in what workers say of their runs.
 *
 * <p>Invariant: a report shows that a run is gone only if it comes from the worker's present life
 * and was given after the order or the stop had its answer, or after the order's deadline. Belongs
 * to the control thread.
 */
final class WorkerReports {

  /** Workers list so many ends at a time; a run beyond the page has not vanished. */
  private static final int ENDS_PAGE = 500;

  private final CellState cell;
  private final RunBook runs;
  private final TaskEnds ends;
  private final Stragglers stragglers;
  private final RunAdoption adoption;

  WorkerReports(
      CellState cell, RunBook runs, TaskEnds ends, Stragglers stragglers, RunAdoption adoption) {
    this.cell = cell;
    this.runs = runs;
    this.adoption = adoption;
    this.ends = ends;
    this.stragglers = stragglers;
  }

  void take(WorkerView worker, HoldReport report, long sentAt, long now) {
    if (worker.bornMillis != report.bornMillis()) {
      newLife(worker, report.bornMillis(), now);
    }
    if (!worker.heard) {
      cell.workerEvent(
          "worker-heard",
          worker,
          "running",
          report.running().size(),
          "ended",
          report.ended().size());
    }
    worker.answered(report.clockMillis(), cell.timings.longestLeaseMillis(), now);
    takeEnds(worker, report, now);
    Set<RunKey> listed = new HashSet<>();
    for (RunningTask running : report.running()) {
      listed.add(running.run());
      takeRunning(worker, running, report.clockMillis(), now);
    }
    stragglers.look(worker, now);
    if (report.ended().size() < ENDS_PAGE) {
      for (Run run : CellState.copy(worker.runs.values())) {
        if (!listed.contains(run.key)) {
          missing(run, report, sentAt, now);
        }
      }
    }
    cell.dirty = true;
  }

  private void takeEnds(WorkerView worker, HoldReport report, long now) {
    long last = worker.endsTaken;
    List<RunKey> taken = new ArrayList<>();
    for (EndedRun ended : report.ended()) {
      if (ended.number() > worker.endsTaken) {
        ends.take(worker, ended, now);
        last = ended.number();
        taken.add(ended.run());
      }
    }
    if (last > worker.endsTaken) {
      worker.endsTaken = last;
      worker.unsavedEnds.addAll(taken);
      long durable = last;
      long life = worker.bornMillis;
      cell.output.afterSave(
          () -> {
            if (worker.bornMillis == life) {
              taken.forEach(worker.unsavedEnds::remove);
              worker.endsDurable = Math.max(worker.endsDurable, durable);
            }
          });
    }
  }

  private void takeRunning(WorkerView worker, RunningTask running, long clock, long now) {
    Run run = worker.runs.get(running.run());
    if (run == null) {
      run = adoption.reported(worker, running.run(), now);
    }
    if (!run.confirmed()) {
      runs.confirmed(run, now);
    }
    run.percent = running.percent();
    stragglers.seen(run, running.percent(), clock, now);
    if (run.task != null && !running.checkpoint().isEmpty()) {
      run.task.recordCheckpoint(running.checkpoint());
    }
  }

  private void missing(Run run, HoldReport report, long sentAt, long now) {
    boolean stopTookEffect = run.stopAnsweredAt > 0 && run.stopAnsweredAt < sentAt;
    boolean wasThere = run.confirmedAt > 0 && run.confirmedAt < sentAt;
    boolean tooLate =
        run.confirmedAt == 0
            && run.lastOrderAt < sentAt
            && run.orderDeadline < report.clockMillis();
    if (!stopTookEffect && !wasThere && !tooLate) {
      return;
    }
    String reason = stopTookEffect ? "stopped" : wasThere ? "vanished" : "order-expired";
    cell.runEvent("run-not-there", run.key, run.worker, "reason", reason);
    runs.gone(run, now);
  }

  /**
   * A worker with a new life knows nothing of before. Its report tells which runs it has: an order
   * may have reached the new life before its birth was noticed here, so nothing is taken for gone
   * on the birth alone. An order without an answer may still arrive, and the new clock's deadline
   * would not refuse it, even if a copy of it ran and ended long ago; the run is stopped first.
   */
  private void newLife(WorkerView worker, long bornMillis, long now) {
    cell.workerEvent("worker-reborn", worker, "runs", worker.runs.size());
    worker.begin(bornMillis);
    for (RunKey key : worker.unanswered.keySet()) {
      worker.refusals.add(key);
      cell.output.stop(worker, key);
    }
    for (Run run : CellState.copy(worker.runs.values())) {
      if (!run.confirmed()) {
        run.orderDeadline = Long.MAX_VALUE;
        run.stopAnsweredAt = 0;
        runs.abandon(run, now);
      }
    }
  }
}
