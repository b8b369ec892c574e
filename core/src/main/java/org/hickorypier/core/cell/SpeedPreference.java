package org.hickorypier.core.cell;

import org.hickorypier.core.submission.QueueTerms;

/**
 * Determines which workers a step prefers by their speed, from the time that it has to spare.
 *
 * <p>Load: two thirds of the workers take 0.7 of the usual time and one third 1.7 times as long.
 * Work that may take four times its longest chain is in time on any of them, and keeps the fast
 * ones free for work that may take 1.5 times its chain. Stateless; confined to the control thread.
 */
final class SpeedPreference {

  /**
   * Share of the tasks that must end within the estimated time on the slowest allowed worker. The
   * remaining ones are long by themselves, and would be late on most workers.
   */
  private static final double IN_TIME_SHARE = 0.9;

  /**
   * Bounds the allowance for unevenness; before any run is known, half as much again is allowed.
   */
  private static final double MAX_UNEVENNESS = 2;

  private static final double UNKNOWN_UNEVENNESS = 1.5;

  /** Fastest factor that workers have in practice; work that needs more is late everywhere. */
  private static final double FASTEST_FACTOR = 0.5;

  private SpeedPreference() {}

  /** Sets the preference of a step that is about to be placed. */
  static void update(CellState cell, StepRun step, long now) {
    step.placedBySpeed = cell.speedEstimator.isByWorker();
    step.allowedFactor =
        step.placedBySpeed && !step.isPersistent()
            ? allowedFactor(cell, step, now)
            : Double.POSITIVE_INFINITY;
  }

  /**
   * Returns the factor of the slowest worker on which the step still ends in time. A step that is
   * late on any worker shall still be of use, and one that is too late for that takes any worker.
   */
  private static double allowedFactor(CellState cell, StepRun step, long now) {
    Submission submission = step.submission;
    QueueTerms queue = submission.spec().queue();
    double stepMillis =
        Math.max(
            1, cell.durationEstimator.expectedMillis(queue.name(), step.spec.estimateMillis()));
    double laterMillis = submission.pathMillisFrom(step, cell.durationEstimator) - stepMillis;
    double unevenness =
        cell.durationEstimator.isKnown(queue.name())
            ? cell.durationEstimator.quantile(queue.name(), IN_TIME_SHARE)
            : UNKNOWN_UNEVENNESS;
    double neededMillis = stepMillis * Math.max(1, Math.min(MAX_UNEVENNESS, unevenness));
    long objective = submission.objectiveMillis(cell.durationEstimator);
    double spentMillis = now - submission.acceptedAt + laterMillis;
    double factor = (objective - spentMillis) / neededMillis;
    if (factor < FASTEST_FACTOR) {
      factor = (UrgencyOrder.USEFUL_OBJECTIVE_FACTOR * objective - spentMillis) / neededMillis;
    }
    return factor < FASTEST_FACTOR ? Double.POSITIVE_INFINITY : factor;
  }
}
