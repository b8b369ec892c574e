package org.hickorypier.core.estimation;

import java.util.Arrays;

/**
 * The speed of one incarnation of a worker, as far as it is known.
 *
 * <p>Invariant: the factor is within the range of {@link WorkerSpeedEstimator}. Mutable; confined
 * to the control thread.
 */
public final class WorkerRating {

  /** Number of the latest samples that count. Their mean is accurate to about a tenth. */
  private static final int MAX_SAMPLES = 8;

  /**
   * Weight of the kind's figure, in samples. It is small, since workers of one kind may differ by a
   * factor of 2.4.
   */
  private static final double KIND_WEIGHT = 0.5;

  /** Largest weight of the figure of an earlier owner, so that three samples outweigh it. */
  private static final double MAX_RESTORED_WEIGHT = 2;

  /**
   * Distance from the median, as a difference of logarithms, from which on a sample says that the
   * task was long. Workers differ from the mean by less than this, and long tasks by about 1.9.
   */
  private static final double MAX_DISTANCE = 0.9;

  /** Spread of the run times of a step's tasks at the same speed, as a logarithm. */
  private static final double TASK_SPREAD = 0.35;

  /** Uncertainty of a worker with all its samples, for which no margin is made. */
  private static final double KNOWN_UNCERTAINTY =
      TASK_SPREAD / Math.sqrt(KIND_WEIGHT + MAX_SAMPLES);

  /**
   * Margin for the uncertainty, in standard errors: with it, a worker without samples counts as
   * slower than the fast ones, and faster than those that are known as slow.
   */
  private static final double CAUTION = 0.75;

  /** Time after which a sample counts half, in milliseconds. */
  private static final double HALF_LIFE_MILLIS = 120_000;

  final String id;
  final String service;
  final String kind;
  final long bornMillis;
  final KindFigure kindFigure;

  /** The logarithm of the relative run time, by which the steps' run times are normalised. */
  double logFactor;

  /** When the rating was last asked for. */
  long usedAt;

  private final StepSamples[] steps = new StepSamples[MAX_SAMPLES];
  private final double[] logMillis = new double[MAX_SAMPLES];
  private final long[] addedAt = new long[MAX_SAMPLES];
  private final double[] ratios = new double[MAX_SAMPLES];
  private final double[] weights = new double[MAX_SAMPLES];
  private final double[] median = new double[MAX_SAMPLES + 1];
  private int size;
  private int next;
  private double restoredLogFactor;
  private double restoredWeight;
  private long restoredAt;
  private double sampleWeight;
  private double factor = 1;

  WorkerRating(String id, String service, String kind, long bornMillis, KindFigure kindFigure) {
    this.id = id;
    this.service = service;
    this.kind = kind;
    this.bornMillis = bornMillis;
    this.kindFigure = kindFigure;
  }

  /**
   * Drops the samples of a rating that is not used any more. The samples of other workers refer to
   * it, and would keep those of every earlier incarnation in memory.
   */
  void dropSamples() {
    Arrays.fill(steps, null);
    size = 0;
    next = 0;
  }

  /**
   * Returns the relative run time of tasks on the worker.
   *
   * @return the factor, where 1 is the mean of the service's workers
   */
  public double factor() {
    return factor;
  }

  /**
   * Returns the number of samples behind the factor.
   *
   * @return the number, in which old samples count less; 0 if the factor is that of the kind
   */
  public double samples() {
    return sampleWeight;
  }

  /**
   * Returns the uncertainty of the factor.
   *
   * @return the standard error of the logarithm of the factor
   */
  public double uncertainty() {
    return TASK_SPREAD / Math.sqrt(KIND_WEIGHT + sampleWeight);
  }

  /**
   * Returns the factor by which tasks are placed. A worker of which little is known counts as slow:
   * urgent work avoids it, and work with time to spare is what it is tried with.
   *
   * @return the factor, raised by a margin for what is not known yet
   */
  public double cautiousFactor() {
    return clampFactor(factor * Math.exp(CAUTION * (uncertainty() - KNOWN_UNCERTAINTY)));
  }

  boolean describes(String otherService, String otherKind, long otherBornMillis) {
    return bornMillis == otherBornMillis && service.equals(otherService) && kind.equals(otherKind);
  }

  void restore(WorkerSpeed speed, long now) {
    restoredLogFactor = Math.log(speed.factor());
    restoredWeight = Math.min(MAX_RESTORED_WEIGHT, speed.samples());
    restoredAt = now;
    sampleWeight = restoredWeight;
    setLogFactor(restoredLogFactor);
  }

  void add(StepSamples step, double runLogMillis, long now) {
    next %= MAX_SAMPLES;
    steps[next] = step;
    logMillis[next] = runLogMillis;
    addedAt[next] = now;
    next++;
    size = Math.max(size, next);
  }

  /**
   * Computes the ratio of each sample to the other tasks of its step, by the present speeds of all
   * workers.
   */
  void compare(long sweep, long now) {
    for (int index = 0; index < size; index++) {
      StepSamples step = steps[index];
      step.prepare(sweep);
      double ratio = logMillis[index] - step.medianOfOthers(logMillis[index] - logFactor);
      ratios[index] = ratio;
      weights[index] = Double.isNaN(ratio) ? 0 : weightAt(now, addedAt[index]);
    }
  }

  /**
   * Returns the logarithm of the worker's factor by its samples; the figure of its kind counts as
   * half a sample.
   */
  double estimate(long now) {
    double restored = restoredWeight * weightAt(now, restoredAt);
    double priorWeight = KIND_WEIGHT + restored;
    double prior =
        (KIND_WEIGHT * kindFigure.logFactor() + restored * restoredLogFactor) / priorWeight;
    double center = center(prior);
    double sum = priorWeight * prior;
    double weight = priorWeight;
    for (int index = 0; index < size; index++) {
      if (weights[index] > 0 && Math.abs(ratios[index] - center) <= MAX_DISTANCE) {
        sum += weights[index] * ratios[index];
        weight += weights[index];
      }
    }
    sampleWeight = weight - KIND_WEIGHT;
    return sum / weight;
  }

  /** Returns the median of the samples and the prior figure; the latter if it is all there is. */
  private double center(double prior) {
    int count = 0;
    median[count++] = prior;
    for (int index = 0; index < size; index++) {
      if (weights[index] > 0) {
        median[count++] = ratios[index];
      }
    }
    if (count <= 2) {
      return prior;
    }
    Arrays.sort(median, 0, count);
    return (median[(count - 1) / 2] + median[count / 2]) / 2;
  }

  void setLogFactor(double value) {
    logFactor = clamp(value);
    factor = clampFactor(Math.exp(logFactor));
  }

  /** Sets the figure of the kind as the worker's factor. */
  void useFactorOfKind() {
    factor = clampFactor(Math.exp(kindFigure.logFactor()));
  }

  WorkerSpeed toSpeed() {
    return new WorkerSpeed(
        id, service, kind, bornMillis, clampFactor(Math.exp(logFactor)), sampleWeight);
  }

  private static double weightAt(long now, long since) {
    return Math.pow(2, -Math.max(0, now - since) / HALF_LIFE_MILLIS);
  }

  private static double clamp(double log) {
    return Math.max(
        Math.log(WorkerSpeedEstimator.MIN_FACTOR),
        Math.min(Math.log(WorkerSpeedEstimator.MAX_FACTOR), log));
  }

  private static double clampFactor(double value) {
    return Math.max(
        WorkerSpeedEstimator.MIN_FACTOR, Math.min(WorkerSpeedEstimator.MAX_FACTOR, value));
  }
}
