package org.hickorypier.core.cell;

import org.hickorypier.core.submission.SubmissionSpec;

/** Finds the steps whose turn has come. Belongs to the control thread. */
final class Turns {

  private final CellState cell;

  Turns(CellState cell) {
    this.cell = cell;
  }

  /** Tells whether a turn may come by time alone. */
  boolean anyScheduled() {
    for (Submission submission : cell.submissions.values()) {
      if (submission.live() && submission.spec().isScheduled()) {
        return true;
      }
    }
    return false;
  }

  /** Opens the steps of durable submissions that are due and wait for no other step. */
  void open(long wallMillis) {
    for (Submission submission : cell.submissions.values()) {
      if (submission.durable && submission.live()) {
        for (int occurrence = 0; occurrence < submission.occurrences.length; occurrence++) {
          if (due(submission.spec(), occurrence, wallMillis)) {
            openReady(submission.occurrences[occurrence]);
          }
        }
      }
    }
  }

  private static boolean due(SubmissionSpec spec, int occurrence, long wallMillis) {
    return !spec.isScheduled()
        || wallMillis >= spec.startAtMillis() + occurrence * spec.intervalMillis();
  }

  private void openReady(StepRun[] steps) {
    for (StepRun step : steps) {
      if (!step.done() && !cell.open.contains(step) && step.anyWaiting() && ready(step, steps)) {
        cell.open.add(step);
      }
    }
  }

  private static boolean ready(StepRun step, StepRun[] steps) {
    for (int earlier : step.spec.dependsOn()) {
      if (!steps[earlier].done()) {
        return false;
      }
    }
    return true;
  }
}
