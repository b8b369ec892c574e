package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * How much longer tasks take on one kind of workers than on another.
 *
 * <p>The tasks of a step are much alike, so each end is compared with those of its step that came
 * before. That needs no estimate, and one kind shows after a second of usual load, also to a new
 * owner. Belongs to the control thread.
 */
final class WorkerKindSpeedEstimator {

  /**
   * Each end counts so much: the tasks of a step differ by a sixth, so some 20 ends make a mean.
   */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** A run that took far longer says something of its worker, not of the kind. */
  private static final double MAX_RATIO = 2;

  private final Map<String, Double> factors = new HashMap<>();

  /**
   * Learns from an end.
   *
   * @param kind the kind of the worker
   * @param step the step of the task
   * @param millis how long the run took
   */
  void recordRun(String kind, StepRun step, long millis) {
    if (step.comparedRuns > 0 && step.comparedMillis > 0) {
      double usual = step.comparedMillis / step.comparedRuns;
      double ratio = Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, millis / usual));
      factors.merge(kind, ratio, (factor, newest) -> factor + SAMPLE_WEIGHT * (newest - factor));
    }
    step.comparedRuns++;
    step.comparedMillis += millis / factor(kind);
  }

  /**
   * Returns how long tasks take on a kind of workers; only the proportion of two means anything.
   */
  double factor(String kind) {
    return factors.getOrDefault(kind, 1.0);
  }
}
