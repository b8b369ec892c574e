package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the run time of tasks by queue from completed runs.
 *
 * <p>Callers' estimates of short checks are off by up to 90% on the users' installations: with them
 * alone, a check of 0.6 s that is estimated at 0.07 s would count as unable to meet its objective
 * before it was due, and would be scheduled last. Confined to the control thread.
 */
final class RunDurationEstimator {

  /**
   * Weight of a sample in the moving average. The mean is taken over some 20 samples, which is a
   * few seconds of the least used queue.
   */
  private static final double SAMPLE_WEIGHT = 0.05;

  /**
   * Number of completed runs from which on their mean is more accurate than the callers' estimates.
   */
  private static final int MIN_ENDED_RUNS = 5;

  private final Map<String, Double> means = new HashMap<>();
  private final Map<String, Integer> counts = new HashMap<>();

  void recordRun(String queue, long millis) {
    counts.merge(queue, 1, Integer::sum);
    means.merge(queue, (double) millis, (mean, newest) -> mean + SAMPLE_WEIGHT * (newest - mean));
  }

  /** Returns whether enough runs of a queue have completed to predict the run time of its tasks. */
  boolean isKnown(String queue) {
    return counts.getOrDefault(queue, 0) >= MIN_ENDED_RUNS;
  }

  /**
   * Returns the larger of an estimate and the mean run time of the queue's tasks, in milliseconds.
   */
  long expectedMillis(String queue, long estimateMillis) {
    return Math.max(estimateMillis, Math.round(means.getOrDefault(queue, 0.0)));
  }
}
