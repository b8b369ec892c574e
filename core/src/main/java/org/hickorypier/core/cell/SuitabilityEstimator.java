package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates for each queue which share of the workers the advisor finds suitable for a step.
 *
 * <p>Confined to the control thread.
 */
final class SuitabilityEstimator {

  /** The share that is assumed before any answer; a low one names too many workers at first. */
  private static final double INITIAL_SHARE = 0.35;

  /** The number of workers in answers that weighs as much as the initial share. */
  private static final double INITIAL_WEIGHT = 40;

  /** Earlier answers lose a part of their weight with each new one, since policies change. */
  private static final double DECAY = 0.95;

  private final Map<String, Totals> totalsByQueue = new HashMap<>();

  private record Totals(double suitable, double named) {}

  /** Records an answer about workers that were not rated for the step before. */
  void recordAnswer(String queue, long named, long suitable) {
    Totals earlier = totalsByQueue.getOrDefault(queue, new Totals(0, 0));
    totalsByQueue.put(
        queue, new Totals(earlier.suitable * DECAY + suitable, earlier.named * DECAY + named));
  }

  /** Returns the expected share of suitable workers, more than 0 and at most 1. */
  double share(String queue) {
    Totals totals = totalsByQueue.getOrDefault(queue, new Totals(0, 0));
    return (totals.suitable + INITIAL_SHARE * INITIAL_WEIGHT) / (totals.named + INITIAL_WEIGHT);
  }
}
