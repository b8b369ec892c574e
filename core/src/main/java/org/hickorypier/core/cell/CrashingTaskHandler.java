package org.hickorypier.core.cell;

import java.util.HashSet;
import java.util.Set;
import org.hickorypier.core.submission.SubmissionState;

/**
 * Gives up tasks that crash the workers that start them.
 *
 * <p>Invariant: a service of which another task may start goes on without the task. Confined to the
 * control thread.
 */
final class CrashingTaskHandler {

  private final CellState cell;
  private final RunController runs;

  /** Tasks of services that were given up, each of which is logged once. */
  private final Set<Task> givenUp = new HashSet<>();

  CrashingTaskHandler(CellState cell, RunController runs) {
    this.cell = cell;
    this.runs = runs;
  }

  /**
   * Returns whether other tasks of a service may go on: to stop them would make the service
   * unavailable for one task's fault.
   */
  private boolean mayGoOnWithout(Task unit, long now) {
    if (!unit.step.isPersistent() || unit.step.isGang()) {
      return false;
    }
    for (Task task : unit.step.tasks) {
      if (cell.crashVerdict(task, now) != CrashVerdict.GIVE_UP) {
        return true;
      }
    }
    return false;
  }

  private void logGivenUp(Task unit) {
    if (givenUp.add(unit)) {
      cell.submissionEvent(
          "task-given-up",
          unit.step.submission,
          "task",
          CellState.taskPath(unit.name()),
          "lost",
          unit.crashes.summary());
    }
  }

  /** Fails the submission of a task, or gives up the task alone if it is one of a service. */
  void giveUp(Task unit, long now) {
    givenUp.removeIf(each -> !each.step.submission.isLive());
    Submission submission = unit.step.submission;
    if (!submission.isLive()) {
      return;
    }
    if (mayGoOnWithout(unit, now)) {
      logGivenUp(unit);
      return;
    }
    submission.state = SubmissionState.FAILED;
    cell.submissionEvent(
        "failed",
        submission,
        "task",
        CellState.taskPath(unit.name()),
        "cause",
        "crashes-its-workers",
        "lost",
        unit.crashes.summary());
    runs.stopSubmission(submission, now);
    cell.recordChange(submission);
  }
}
