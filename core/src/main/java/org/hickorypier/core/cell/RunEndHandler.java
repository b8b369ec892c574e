package org.hickorypier.core.cell;

import org.hickorypier.core.estimation.StepSamples;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.SubmissionState;

/**
 * Processes the ends of runs: updates the task, its step and its submission, and quarantines
 * workers that fail repeatedly.
 *
 * <p>Invariant: an end that is reported again to a successor has no effect a second time. Confined
 * to the control thread.
 */
final class RunEndHandler {

  /**
   * Number of failures in a row on a worker that starts a quarantine. Two without a success between
   * them are more than tasks cause by themselves.
   */
  private static final int FAILURES_TO_QUARANTINE = 2;

  /**
   * Initial length of a quarantine. A worker that fails every run uses up the attempts of all
   * tasks.
   */
  private static final long QUARANTINE_MILLIS = 4_000;

  private static final int MAX_DOUBLINGS = 3;

  private final CellState cell;
  private final RunController runs;
  private final CrashTracker crashTracker;

  RunEndHandler(CellState cell, RunController runs, CrashTracker crashTracker) {
    this.cell = cell;
    this.crashTracker = crashTracker;
    this.runs = runs;
  }

  void handleEnd(WorkerView worker, EndedRun ended, long now) {
    Run run = worker.runs.get(ended.run());
    if (run != null) {
      runs.release(run);
    }
    cell.runEvent(
        "run-ended",
        ended.run(),
        worker,
        "how",
        ended.how(),
        "number",
        ended.number(),
        "known",
        run != null);
    Submission submission = cell.submissions.get(ended.run().task().submission());
    Task task = submission == null ? null : submission.task(ended.run().task());
    if (task == null) {
      return;
    }
    task.lastRunNumber = Math.max(task.lastRunNumber, ended.run().number());
    if (!ended.checkpoint().isEmpty() && (run == null || task.currentRun == run)) {
      task.recordCheckpoint(ended.checkpoint());
    }
    crashTracker.handleEnd(task, ended.run().number());
    if (ended.how() == RunEnd.DONE) {
      handleSuccess(worker, run, task, now);
    } else if (ended.how() == RunEnd.FAILED) {
      handleFailure(task, ended, worker, now);
    }
    if (run != null) {
      runs.reopenTask(run, now);
    }
  }

  private void handleSuccess(WorkerView worker, Run run, Task task, long now) {
    worker.failureStreak = 0;
    Submission submission = task.step.submission;
    if (run != null && run.isConfirmed() && run.orderCopies > 0) {
      recordRunTime(worker, run, now);
      worker.slowStreak = 0;
    }
    // A persistent task is never done: it starts again however it ends.
    if (submission.isLive() && !task.step.spec.flags().persistent()) {
      completeTask(task, now);
    }
  }

  private void recordRunTime(WorkerView worker, Run run, long now) {
    StepRun step = run.task.step;
    long tookMillis = Math.max(1, now - run.confirmedAt);
    double factor = step.isGang() ? slowestFactor(step) : worker.speedFactor();
    step.longestRunMillis = Math.max(step.longestRunMillis, Math.round(tookMillis / factor));
    // A resumed run did only a part of its task, and the end of one member ends the whole gang.
    if (!run.resumed && !(step.isGang() && run.task.done)) {
      cell.durationEstimator.recordRun(
          step.submission.spec().queue().name(), step.spec.estimateMillis(), tookMillis, factor);
    }
    if (isComparable(worker, run)) {
      if (step.speedSamples == null) {
        step.speedSamples = new StepSamples();
      }
      cell.speedEstimator.recordRun(worker.rating, step.speedSamples, tookMillis, now);
    }
  }

  /** Returns the factor of the slowest worker of a gang, which determines its run time. */
  private static double slowestFactor(StepRun gang) {
    double slowest = 0;
    for (Task member : gang.tasks) {
      if (member.currentRun != null) {
        slowest = Math.max(slowest, member.currentRun.worker.speedFactor());
      }
    }
    return slowest == 0 ? 1 : slowest;
  }

  /**
   * Returns whether the run time says something about the worker's speed. The run times of gangs,
   * gap-filling tasks, persistent tasks and resumed runs depend on other things, and those on a
   * worker that has just started or was found slow for a moment say nothing about its nature.
   */
  private static boolean isComparable(WorkerView worker, Run run) {
    StepFlags flags = run.task.step.spec.flags();
    return worker.rating != null
        && !flags.gang()
        && !flags.opportunistic()
        && !flags.persistent()
        && !run.resumed
        && run.workerBornMillis == worker.bornMillis()
        && !worker.isCold(run.confirmedAt)
        && run.confirmedAt >= worker.slowBackoffUntil;
  }

  private void completeTask(Task task, long now) {
    StepRun step = task.step;
    if (step.isDone() || task.done) {
      return;
    }
    if (!step.isGang()) {
      markDone(task, now);
    } else {
      // The members of a gang end together, so one end completes all of them.
      for (Task member : step.tasks) {
        markDone(member, now);
      }
    }
    cell.recordChange(step.submission);
    if (step.isDone()) {
      completeStep(step, now);
    }
  }

  private void markDone(Task task, long now) {
    if (task.done) {
      return;
    }
    task.done = true;
    task.step.doneCount++;
    Run other = task.currentRun;
    task.currentRun = null;
    if (other != null && !task.step.isGang() && other.worker.runs.containsKey(other.key)) {
      runs.abandon(other, now);
    }
  }

  private void completeStep(StepRun step, long now) {
    Submission submission = step.submission;
    submission.unfinishedSteps--;
    cell.readySteps.remove(step);
    cell.reservations.release(step);
    step.preemption = null;
    if (submission.unfinishedSteps > 0) {
      cell.stepsMayBeReady = true;
      return;
    }
    submission.state = SubmissionState.COMPLETED;
    cell.estimateErrors.record(
        submission.spec().queue().name(), submission.estimateMillis, now - submission.acceptedAt);
    cell.submissionEvent(
        "completed",
        submission,
        "took_ms",
        now - submission.acceptedAt,
        "objective_ms",
        submission.objectiveMillis(cell.durationEstimator));
  }

  private void handleFailure(Task task, EndedRun ended, WorkerView worker, long now) {
    Task record = task.step.failureRecord(task);
    // A task that has failed elsewhere is more likely to be the cause than this worker.
    if (record.failedRunNumbers.isEmpty()) {
      recordWorkerFailure(worker, now);
    }
    Submission submission = task.step.submission;
    if (!submission.isLive() || task.done || record.hasRecordedFailure(ended.run().number())) {
      return;
    }
    record.recordFailure(ended.run().number());
    record.avoidedWorker = worker;
    cell.recordChange(submission);
    boolean exhausted = record.failedRunNumbers.size() >= submission.spec().queue().maxAttempts();
    if (exhausted && !task.step.spec.flags().persistent()) {
      submission.state = SubmissionState.FAILED;
      cell.submissionEvent(
          "failed",
          submission,
          "task",
          CellState.taskPath(ended.run().task()),
          "attempts",
          record.failedRunNumbers.size());
      runs.stopSubmission(submission, now);
    }
  }

  private void recordWorkerFailure(WorkerView worker, long now) {
    worker.failureStreak++;
    if (worker.failureStreak >= FAILURES_TO_QUARANTINE) {
      int doublings = Math.min(MAX_DOUBLINGS, worker.failureStreak - FAILURES_TO_QUARANTINE);
      long quarantineMillis = QUARANTINE_MILLIS << doublings;
      worker.quarantinedUntil = now + quarantineMillis;
      cell.workerEvent(
          "worker-quarantined",
          worker,
          "failures",
          worker.failureStreak,
          "for_ms",
          quarantineMillis);
    }
  }
}
