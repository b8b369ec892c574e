package org.hickorypier.core.cell;

import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.SubmissionState;

/**
 * Draws the consequences of ends: for the task, its step, its submission, and the trust in the
 * worker.
 *
 * <p>Invariant: the same end, heard again by a successor, changes nothing a second time. Belongs to
 * the control thread.
 */
final class TaskEnds {

  /** Two failures in a row, without a success between, are more than tasks fail by themselves. */
  private static final int FAILURES_TO_QUARANTINE = 2;

  /** First length of a quarantine; a worker that fails everything empties the attempts of all. */
  private static final long QUARANTINE_MILLIS = 4_000;

  private static final int MOST_DOUBLINGS = 3;

  private final CellState cell;
  private final RunBook runs;

  TaskEnds(CellState cell, RunBook runs) {
    this.cell = cell;
    this.runs = runs;
  }

  void take(WorkerView worker, EndedRun ended, long now) {
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
    if (ended.how() == RunEnd.DONE) {
      succeeded(worker, run, task, now);
    } else if (ended.how() == RunEnd.FAILED) {
      failed(task, ended, worker, now);
    }
    if (run != null) {
      runs.free(run, now);
    }
  }

  private void succeeded(WorkerView worker, Run run, Task task, long now) {
    worker.failureStreak = 0;
    Submission submission = task.step.submission;
    if (run != null && run.confirmed() && run.copies > 0) {
      long took = now - run.confirmedAt;
      cell.learnedWork.ended(submission.spec().queue().name(), took);
      task.step.longestRunMillis = Math.max(task.step.longestRunMillis, took);
      worker.slowStreak = 0;
      if (comparable(run)) {
        cell.learnedSpeed.ended(worker.entry().kind(), task.step, took);
      }
    }
    // A persistent task is never done: however it ends, it starts again.
    if (submission.isLive() && !task.step.spec.flags().persistent()) {
      done(task, now);
    }
  }

  /** Gangs, what fills, what lasts and what was resumed take a time of their own. */
  private static boolean comparable(Run run) {
    StepFlags flags = run.task.step.spec.flags();
    return !flags.gang() && !flags.fills() && !flags.persistent() && !run.resumed;
  }

  private void done(Task task, long now) {
    StepRun step = task.step;
    if (step.isDone() || task.done) {
      return;
    }
    if (!step.isGang()) {
      taskDone(task, now);
    } else {
      // The members of a gang end together, and one end stands for all.
      for (Task member : step.tasks) {
        taskDone(member, now);
      }
    }
    cell.recordChange(step.submission);
    if (step.isDone()) {
      stepDone(step, now);
    }
  }

  private void taskDone(Task task, long now) {
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

  private void stepDone(StepRun step, long now) {
    Submission submission = step.submission;
    submission.unfinishedSteps--;
    cell.readySteps.remove(step);
    if (submission.unfinishedSteps > 0) {
      cell.stepsMayBeReady = true;
      return;
    }
    submission.state = SubmissionState.COMPLETED;
    cell.submissionEvent(
        "completed",
        submission,
        "took_ms",
        now - submission.acceptedAt,
        "objective_ms",
        submission.objectiveMillis(cell.learnedWork));
  }

  private void failed(Task task, EndedRun ended, WorkerView worker, long now) {
    Task record = task.step.failureRecord(task);
    // A task that has failed elsewhere says more of itself than of this worker.
    if (record.failedRunNumbers.isEmpty()) {
      distrust(worker, now);
    }
    Submission submission = task.step.submission;
    if (!submission.isLive()
        || task.done
        || record.failedRunNumbers.contains(ended.run().number())) {
      return;
    }
    record.failedRunNumbers.add(ended.run().number());
    record.avoidedWorker = worker;
    cell.recordChange(submission);
    boolean exhausted = record.failedRunNumbers.size() >= submission.spec().queue().attempts();
    if (exhausted && !task.step.spec.flags().persistent()) {
      submission.state = SubmissionState.FAILED;
      cell.submissionEvent(
          "failed",
          submission,
          "task",
          CellState.taskPath(ended.run().task()),
          "attempts",
          record.failedRunNumbers.size());
      runs.stopAll(submission, now);
    }
  }

  private void distrust(WorkerView worker, long now) {
    worker.failureStreak++;
    if (worker.failureStreak >= FAILURES_TO_QUARANTINE) {
      int doublings = Math.min(MOST_DOUBLINGS, worker.failureStreak - FAILURES_TO_QUARANTINE);
      long length = QUARANTINE_MILLIS << doublings;
      worker.quarantinedUntil = now + length;
      cell.workerEvent(
          "worker-quarantined", worker, "failures", worker.failureStreak, "for_ms", length);
    }
  }
}
