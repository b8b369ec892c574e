package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * How long tasks of a queue really take.
 *
 * <p>Callers' estimates are off by up to nine tenths on the users' short checks: by them a check of
 * 0.6 s that is estimated at 0.07 s would count as hopeless before it was due, and go last. Belongs
 * to the control thread.
 */
final class RunDurationEstimator {

  /** Each end counts so much: some 20 ends make a mean, a few seconds of the rarest queue. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** So many ends tell more of a queue than its callers' estimates. */
  private static final int MIN_ENDED_RUNS = 5;

  private final Map<String, Double> means = new HashMap<>();
  private final Map<String, Integer> counts = new HashMap<>();

  void recordRun(String queue, long millis) {
    counts.merge(queue, 1, Integer::sum);
    means.merge(queue, (double) millis, (mean, newest) -> mean + SAMPLE_WEIGHT * (newest - mean));
  }

  /** Tells whether enough was seen of a queue to say how long its tasks take. */
  boolean isKnown(String queue) {
    return counts.getOrDefault(queue, 0) >= MIN_ENDED_RUNS;
  }

  /** Returns the larger of an estimate and what tasks of the queue took on average. */
  long expectedMillis(String queue, long estimateMillis) {
    return Math.max(estimateMillis, Math.round(means.getOrDefault(queue, 0.0)));
  }
}
