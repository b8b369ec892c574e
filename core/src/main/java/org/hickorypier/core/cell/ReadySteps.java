package org.hickorypier.core.cell;

import org.hickorypier.core.submission.SubmissionSpec;

/** Finds the steps that are ready to run. Confined to the control thread. */
final class ReadySteps {

  private final CellState cell;

  ReadySteps(CellState cell) {
    this.cell = cell;
  }

  /** Tells whether a step may become ready by the passage of time alone. */
  boolean hasScheduledSubmissions() {
    for (Submission submission : cell.submissions.values()) {
      if (submission.isLive() && submission.spec().isScheduled()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Adds the steps of durable submissions that are due and have no unfinished dependencies to the
   * ready steps of the cell.
   */
  void addReadySteps(long wallMillis) {
    for (Submission submission : cell.submissions.values()) {
      if (submission.durable && submission.isLive()) {
        for (int occurrence = 0; occurrence < submission.occurrences.length; occurrence++) {
          if (isDue(submission.spec(), occurrence, wallMillis)) {
            addReadyStepsOf(submission.occurrences[occurrence]);
          }
        }
      }
    }
  }

  private static boolean isDue(SubmissionSpec spec, int occurrence, long wallMillis) {
    return !spec.isScheduled()
        || wallMillis >= spec.startAtMillis() + occurrence * spec.intervalMillis();
  }

  private void addReadyStepsOf(StepRun[] steps) {
    for (StepRun step : steps) {
      if (!step.isDone()
          && !cell.readySteps.contains(step)
          && step.hasWaitingTasks()
          && isReady(step, steps)) {
        cell.readySteps.add(step);
      }
    }
  }

  private static boolean isReady(StepRun step, StepRun[] steps) {
    for (int dependency : step.spec.dependsOn()) {
      if (!steps[dependency].isDone()) {
        return false;
      }
    }
    return true;
  }
}
