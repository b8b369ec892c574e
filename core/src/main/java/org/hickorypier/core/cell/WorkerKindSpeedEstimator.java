package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how the run times of tasks on different kinds of workers relate.
 *
 * <p>The tasks of a step are similar, so each run time is compared with those of the step's earlier
 * runs. This needs no estimate by the caller, and a kind is rated after a second of typical load,
 * also by a new owner. Confined to the control thread.
 */
final class WorkerKindSpeedEstimator {

  /**
   * Weight of a sample in the moving average. The tasks of a step differ by a sixth, so the mean is
   * taken over some 20 samples.
   */
  private static final double SAMPLE_WEIGHT = 0.05;

  /**
   * Largest ratio that a sample may have. A run that took far longer says something about its
   * worker, not about the kind.
   */
  private static final double MAX_RATIO = 2;

  private final Map<String, Double> factors = new HashMap<>();

  /**
   * Adds the run time of a completed run.
   *
   * @param kind the kind of the worker
   * @param step the step of the task
   * @param millis the run time, in milliseconds
   */
  void recordRun(String kind, StepRun step, long millis) {
    if (step.comparedRuns > 0 && step.comparedMillis > 0) {
      double meanMillis = step.comparedMillis / step.comparedRuns;
      double ratio = Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, millis / meanMillis));
      factors.merge(kind, ratio, (factor, newest) -> factor + SAMPLE_WEIGHT * (newest - factor));
    }
    step.comparedRuns++;
    step.comparedMillis += millis / factor(kind);
  }

  /**
   * Returns the relative run time of tasks on a kind of workers; only the ratio of two factors is
   * meaningful.
   */
  double factor(String kind) {
    return factors.getOrDefault(kind, 1.0);
  }
}
