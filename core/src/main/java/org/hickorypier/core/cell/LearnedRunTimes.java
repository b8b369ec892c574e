package org.hickorypier.core.cell;

import org.hickorypier.core.admission.Place;
import org.hickorypier.core.submission.SubmissionSpec;

/**
 * The run times that admission counts with. It is the only use that admission makes of the
 * estimator of the cell. Confined to the control thread.
 */
final class LearnedRunTimes {

  /** Part of a caller's estimate that counts while no run of the queue has completed. */
  private static final double UNKNOWN_QUEUE_PART = 0.1;

  private final CellState cell;

  LearnedRunTimes(CellState cell) {
    this.cell = cell;
  }

  /** Returns whether run times of a queue are known. */
  boolean isKnown(String queue) {
    return cell.durationEstimator.isKnown(queue);
  }

  /**
   * Returns the expected run time of a task, in milliseconds, at least 1: the learned one, or the
   * least that the caller's estimate may mean.
   */
  long taskMillis(String queue, long estimateMillis) {
    double millis =
        isKnown(queue)
            ? cell.durationEstimator.meanMillis(queue)
            : UNKNOWN_QUEUE_PART * estimateMillis;
    return Math.max(1, Math.round(millis));
  }

  /** Returns the time within which a submission meets its objective, in milliseconds. */
  long objectiveMillis(Submission submission) {
    return submission.objectiveMillis(cell.durationEstimator);
  }

  /** Returns the chains of the steps of a submission that may not be accepted yet. */
  StepChains chains(SubmissionSpec spec) {
    return StepChains.of(spec, cell.durationEstimator);
  }

  /** Returns the place of a step in the order of placing. */
  Place place(StepRun step, long now) {
    return UrgencyOrder.place(step, cell.durationEstimator, now);
  }
}
