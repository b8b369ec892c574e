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
final class WorkerReportHandler {

  /** Workers list so many ends at a time; a run beyond the page has not vanished. */
  private static final int ENDS_PAGE_SIZE = 500;

  private final CellState cell;
  private final RunController runs;
  private final RunEndHandler ends;
  private final StragglerDetector stragglers;
  private final RunAdoption adoption;

  WorkerReportHandler(
      CellState cell,
      RunController runs,
      RunEndHandler ends,
      StragglerDetector stragglers,
      RunAdoption adoption) {
    this.cell = cell;
    this.runs = runs;
    this.adoption = adoption;
    this.ends = ends;
    this.stragglers = stragglers;
  }

  void handleReport(WorkerView worker, RenewalReport report, long sentAt, long now) {
    if (worker.bornMillis != report.bornMillis()) {
      handleNewIncarnation(worker, report.bornMillis(), now);
    }
    if (!worker.hasAnswered) {
      cell.workerEvent(
          "worker-heard",
          worker,
          "running",
          report.running().size(),
          "ended",
          report.ended().size());
    }
    worker.recordAnswer(report.clockMillis(), cell.terms.longestLeaseMillis(), now);
    handleEnds(worker, report, now);
    Set<RunKey> listed = new HashSet<>();
    for (RunningTask running : report.running()) {
      listed.add(running.run());
      handleRunning(worker, running, report.clockMillis(), now);
    }
    stragglers.moveStragglers(worker, now);
    if (report.ended().size() < ENDS_PAGE_SIZE) {
      for (Run run : CellState.copy(worker.runs.values())) {
        if (!listed.contains(run.key)) {
          handleMissing(run, report, sentAt, now);
        }
      }
    }
    cell.dirty = true;
  }

  private void handleEnds(WorkerView worker, RenewalReport report, long now) {
    long last = worker.lastProcessedEnd;
    List<RunKey> taken = new ArrayList<>();
    for (EndedRun ended : report.ended()) {
      if (ended.number() > worker.lastProcessedEnd) {
        ends.handleEnd(worker, ended, now);
        last = ended.number();
        taken.add(ended.run());
      }
    }
    if (last > worker.lastProcessedEnd) {
      worker.lastProcessedEnd = last;
      worker.unsavedEnds.addAll(taken);
      long durable = last;
      long life = worker.bornMillis;
      cell.output.afterSave(
          () -> {
            if (worker.bornMillis == life) {
              taken.forEach(worker.unsavedEnds::remove);
              worker.lastDurableEnd = Math.max(worker.lastDurableEnd, durable);
            }
          });
    }
  }

  private void handleRunning(WorkerView worker, RunningTask running, long clock, long now) {
    Run run = worker.runs.get(running.run());
    if (run == null) {
      run = adoption.adoptReported(worker, running.run(), now);
    }
    if (!run.isConfirmed()) {
      runs.confirm(run, now);
    }
    run.percent = running.percent();
    stragglers.recordProgress(run, running.percent(), clock, now);
    if (run.task != null && !running.checkpoint().isEmpty()) {
      run.task.keepCheckpoint(running.checkpoint());
    }
  }

  private void handleMissing(Run run, RenewalReport report, long sentAt, long now) {
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
    runs.removeRun(run, now);
  }

  /**
   * A worker with a new life knows nothing of before. Its report tells which runs it has: an order
   * may have reached the new life before its birth was noticed here, so nothing is taken for gone
   * on the birth alone. An order without an answer may still arrive, and the new clock's deadline
   * would not refuse it, even if a copy of it ran and ended long ago; the run is stopped first.
   */
  private void handleNewIncarnation(WorkerView worker, long bornMillis, long now) {
    cell.workerEvent("worker-reborn", worker, "runs", worker.runs.size());
    worker.beginIncarnation(bornMillis);
    for (RunKey key : worker.unansweredOrders.keySet()) {
      worker.runsToRefuse.add(key);
      cell.output.stop(worker, key);
    }
    for (Run run : CellState.copy(worker.runs.values())) {
      if (!run.isConfirmed()) {
        run.orderDeadline = Long.MAX_VALUE;
        run.stopAnsweredAt = 0;
        runs.abandon(run, now);
      }
    }
  }
}
