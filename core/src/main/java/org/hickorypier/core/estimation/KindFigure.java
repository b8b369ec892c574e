package org.hickorypier.core.estimation;

/** The figure of the workers of one kind in one service. Confined to the control thread. */
final class KindFigure {

  /** Weight of the usual speed in the figure, in workers. */
  private static final double MEAN_WEIGHT = 1;

  private double sum;
  private double weight = MEAN_WEIGHT;

  void clear() {
    sum = 0;
    weight = MEAN_WEIGHT;
  }

  void add(double logFactor, double workerWeight) {
    sum += workerWeight * logFactor;
    weight += workerWeight;
  }

  double logFactor() {
    return sum / weight;
  }
}
