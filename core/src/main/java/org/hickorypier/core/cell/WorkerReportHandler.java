package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Processes the reports that workers give of their runs when they answer a renewal.
 *
 * <p>Invariant: a report proves that a run is gone only if it lists all ends, comes from the
 * worker's current incarnation and was requested after the order or the stop was answered, or is
 * dated after the order's deadline. Confined to the control thread.
 */
final class WorkerReportHandler {

  private final CellState cell;
  private final RunController runs;
  private final RunEndHandler runEndHandler;
  private final StragglerDetector stragglerDetector;
  private final RunAdoption adoption;
  private final CrashTracker crashTracker;

  WorkerReportHandler(
      CellState cell,
      RunController runs,
      RunEndHandler runEndHandler,
      StragglerDetector stragglerDetector,
      RunAdoption adoption,
      CrashTracker crashTracker) {
    this.cell = cell;
    this.crashTracker = crashTracker;
    this.runs = runs;
    this.adoption = adoption;
    this.runEndHandler = runEndHandler;
    this.stragglerDetector = stragglerDetector;
  }

  void handleReport(WorkerView worker, RenewalReport report, long sentAt, long now) {
    if (worker.bornMillis() != report.bornMillis()) {
      handleNewIncarnation(worker, report, now);
    } else {
      worker.runs.values().forEach(run -> run.lossCounted = false);
      worker.recordAnsweredToken(sentAt, cell.timings, now);
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
    crashTracker.handleAnswer(worker, report.bornMillis());
    worker.recordAnswer(report.clockMillis(), cell.timings.longestLeaseMillis(), now);
    recordCoverage(worker, report);
    handleEnds(worker, report, now);
    Set<RunKey> listed = new HashSet<>();
    for (RunningTask running : report.running()) {
      listed.add(running.run());
      handleRunning(worker, running, report.clockMillis(), now);
    }
    stragglerDetector.moveStragglers(worker, now);
    if (report.coverage() == ReportCoverage.COMPLETE) {
      Map<Run, String> missing = new LinkedHashMap<>();
      for (Run run : worker.runs.values()) {
        if (!listed.contains(run.key)) {
          reasonOfAbsence(run, report, sentAt).ifPresent(reason -> missing.put(run, reason));
        }
      }
      handleMissing(worker, missing, now);
    }
    cell.dirty = true;
  }

  private void recordCoverage(WorkerView worker, RenewalReport report) {
    ReportCoverage before = worker.coverage;
    worker.coverage = before.after(report);
    if (worker.coverage != before && before == ReportCoverage.FURTHER_ENDS) {
      cell.workerEvent("worker-ends-read", worker);
    } else if (worker.coverage == ReportCoverage.FURTHER_ENDS && before == ReportCoverage.NONE) {
      cell.workerEvent("worker-has-further-ends", worker, "unknown", worker.runsUnknown);
    }
  }

  /**
   * Handles a report that arrived after it had counted as missing. Only its ends are used: they
   * stand for good, while the worker may have restarted or started other runs since. It does not
   * count as the last page, since it may be older than the page before.
   */
  void handleLateReport(WorkerView worker, RenewalReport report, long now) {
    if (worker.bornMillis() == report.bornMillis()) {
      handleEnds(worker, report, now);
      cell.dirty = true;
    }
  }

  private void handleEnds(WorkerView worker, RenewalReport report, long now) {
    long lastEnd = worker.lastProcessedEnd;
    List<RunKey> processed = new ArrayList<>();
    for (EndedRun ended : report.ended()) {
      if (ended.number() > worker.lastProcessedEnd) {
        runEndHandler.handleEnd(worker, ended, now);
        lastEnd = ended.number();
        processed.add(ended.run());
      }
    }
    if (lastEnd > worker.lastProcessedEnd) {
      worker.lastProcessedEnd = lastEnd;
      worker.unsavedEnds.addAll(processed);
      long durable = lastEnd;
      long incarnation = worker.bornMillis();
      cell.output.afterSave(
          () -> {
            if (worker.bornMillis() == incarnation) {
              processed.forEach(worker.unsavedEnds::remove);
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
    run.reported = true;
    crashTracker.withdrawLoss(run);
    run.percent = running.percent();
    stragglerDetector.recordProgress(run, running.percent(), clock, now);
    if (run.task != null && !running.checkpoint().isEmpty()) {
      run.task.recordCheckpoint(running.checkpoint());
    }
  }

  /** Returns why a run that the report lacks is known to be gone; empty if it is not. */
  private static Optional<String> reasonOfAbsence(Run run, RenewalReport report, long sentAt) {
    boolean stopAnswered = run.stopAnsweredAt > 0 && run.stopAnsweredAt < sentAt;
    boolean wasConfirmed = run.confirmedAt > 0 && run.confirmedAt < sentAt;
    boolean orderExpired =
        run.confirmedAt == 0
            && run.lastOrderAt < sentAt
            && run.orderDeadline < report.clockMillis();
    if (!stopAnswered && !wasConfirmed && !orderExpired) {
      return Optional.empty();
    }
    return Optional.of(stopAnswered ? "stopped" : wasConfirmed ? "vanished" : "order-expired");
  }

  private void handleMissing(WorkerView worker, Map<Run, String> missing, long now) {
    List<Run> lost =
        missing.keySet().stream()
            .filter(run -> run.workerBornMillis < worker.bornMillis() && !run.lossCounted)
            .toList();
    if (!lost.isEmpty()) {
      crashTracker.handleLoss(worker, lost, "worker-reborn", worker.previousLostAt, true, now);
    }
    missing.forEach(
        (run, reason) -> {
          cell.runEvent("run-not-there", run.key, run.worker, "reason", reason);
          runs.removeRun(run, now);
        });
  }

  /**
   * Handles the restart of a worker. The worker has lost its state, and its report says which runs
   * it has. An order may have reached the new incarnation before the restart was detected here, so
   * the restart alone is no proof that a run is gone. An order without an answer may still arrive,
   * and its deadline does not make the new clock refuse it, even if a copy of it ran and ended long
   * ago; the run is therefore stopped first.
   */
  private void handleNewIncarnation(WorkerView worker, RenewalReport report, long now) {
    long bornMillis = report.bornMillis();
    boolean described = worker.entry().bornMillis() == bornMillis;
    cell.workerEvent(
        "worker-reborn",
        worker,
        "runs",
        worker.runs.size(),
        "running",
        report.running().size(),
        "unanswered_orders",
        worker.unansweredOrders.size(),
        "clock_ms",
        report.clockMillis(),
        "renewal_deadline_ms",
        worker.lastRenewalDeadline,
        "former_deadline_ms",
        worker.highestDeadline,
        "described",
        described);
    if (!worker.lossRecorded && !TrialWorkers.isAlone(worker)) {
      cell.workerLosses.record(worker, worker.lostAt(now), now);
    }
    worker.beginIncarnation(bornMillis, cell.ownerTokens.next(), cell.timings, now);
    for (RunKey key : worker.unansweredOrders.keySet()) {
      worker.runsToRefuse.add(key);
      cell.output.stop(worker, key);
    }
    for (Run run : CellState.copy(worker.runs.values())) {
      if (!run.isConfirmed() || worker.unansweredOrders.containsKey(run.key)) {
        run.confirmedAt = 0;
        run.orderDeadline = Long.MAX_VALUE;
        run.stopAnsweredAt = 0;
        runs.abandon(run, now);
      }
    }
  }
}
