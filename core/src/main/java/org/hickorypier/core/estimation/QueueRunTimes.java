package org.hickorypier.core.estimation;

/**
 * The run times of one queue's tasks, at the usual worker speed. Mutable; confined to the control
 * thread.
 *
 * <p>The distribution is kept here rather than in HdrHistogram because old samples must lose weight
 * and samples are relative to the expected time; HdrHistogram counts whole, equally weighted
 * values.
 */
final class QueueRunTimes {

  /**
   * Number of completed runs from which on they are more accurate than the callers' estimates.
   * Estimates are off by up to 90%.
   */
  static final int MIN_RUNS = 5;

  /** Weight of a sample in the moving means: some 20 samples count. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /**
   * Largest distance of a sample from a mean, as a difference of logarithms. Three in a hundred
   * tasks take seven times the usual time, and must not shift the mean by more than 0.03.
   */
  private static final double MAX_DISTANCE = 1;

  /** Variance of the run times' logarithms before it is known: tasks differ by about 0.3. */
  private static final double FIRST_VARIANCE = 0.1;

  /** Variance of the estimates' errors before it is known, when few steps have been estimated. */
  private static final double FIRST_ERROR_VARIANCE = 0.4;

  /** Bins of the distribution for each doubling of the run time. */
  private static final int BINS_PER_DOUBLING = 4;

  /** The middle bin, for a run of the expected time; the bins reach from 1/64 to 64 times that. */
  private static final int MIDDLE_BIN = 24;

  /** Number of samples in the distribution at which all count half from then on. */
  private static final double MAX_SAMPLES = 1_000;

  private final double[] bins = new double[2 * MIDDLE_BIN + 1];
  private double binned;
  private int runs;
  private double meanMillis;
  private double logMillis;
  private double logMillisVariance = FIRST_VARIANCE;
  private double logError;
  private double logErrorVariance = FIRST_ERROR_VARIANCE;

  void record(long estimateMillis, double usualMillis) {
    if (isKnown()) {
      addToDistribution(usualMillis / expectedMillis(estimateMillis));
    }
    runs++;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / runs);
    meanMillis += weight * (usualMillis - meanMillis);
    double log = Math.log(usualMillis);
    double error = log - Math.log(Math.max(1, estimateMillis));
    if (runs == 1) {
      logMillis = log;
      logError = error;
      return;
    }
    double distance = clip(log - logMillis);
    logMillis += weight * distance;
    logMillisVariance += SAMPLE_WEIGHT * (distance * distance - logMillisVariance);
    double errorDistance = clip(error - logError);
    logError += weight * errorDistance;
    logErrorVariance += SAMPLE_WEIGHT * (errorDistance * errorDistance - logErrorVariance);
  }

  void addToDistribution(double ratio) {
    bins[bin(ratio)]++;
    binned++;
    if (binned >= MAX_SAMPLES) {
      halveBins();
    }
  }

  int runs() {
    return runs;
  }

  boolean isKnown() {
    return runs >= MIN_RUNS;
  }

  /**
   * Returns the expected run time. The estimate, corrected by its mean error, and the usual run
   * time of the queue count by how far each has been off; while too few runs are known, the larger
   * of both is taken.
   */
  double expectedMillis(long estimateMillis) {
    if (!isKnown()) {
      return Math.max(estimateMillis, meanMillis);
    }
    double corrected = Math.log(Math.max(1, estimateMillis)) + logError;
    double weight = estimateWeight();
    return Math.exp(weight * corrected + (1 - weight) * logMillis);
  }

  double meanMillis() {
    return meanMillis;
  }

  /** Returns the weight of the callers' estimates, from 0 to 1. */
  double estimateWeight() {
    double sum = logMillisVariance + logErrorVariance;
    return sum > 0 ? logMillisVariance / sum : 0;
  }

  /** Returns the share of runs that took at least some multiple of the expected time. */
  double shareFrom(double ratio) {
    if (binned == 0) {
      return 0;
    }
    double count = 0;
    for (int bin = bin(ratio); bin < bins.length; bin++) {
      count += bins[bin];
    }
    return count / binned;
  }

  /** Returns the multiple of the expected time that a share of the runs does not exceed. */
  double quantile(double share) {
    double count = 0;
    for (int bin = 0; bin < bins.length; bin++) {
      count += bins[bin];
      if (count >= share * binned && count > 0) {
        return ratio(bin);
      }
    }
    return 1;
  }

  /** Returns the mean multiple of the expected time that is left after a multiple of it. */
  double remainingRatio(double ranRatio) {
    double sum = 0;
    double count = 0;
    for (int bin = bin(ranRatio); bin < bins.length; bin++) {
      double left = ratio(bin) - ranRatio;
      if (left > 0) {
        sum += bins[bin] * left;
        count += bins[bin];
      }
    }
    return count > 0 ? sum / count : Math.max(0, 1 - ranRatio);
  }

  private void halveBins() {
    for (int bin = 0; bin < bins.length; bin++) {
      bins[bin] /= 2;
    }
    binned /= 2;
  }

  private static int bin(double ratio) {
    double doublings = Math.log(Math.max(ratio, Double.MIN_NORMAL)) / Math.log(2);
    long bin = MIDDLE_BIN + Math.round(BINS_PER_DOUBLING * doublings);
    return (int) Math.max(0, Math.min(2 * MIDDLE_BIN, bin));
  }

  private static double ratio(int bin) {
    return Math.pow(2, (bin - MIDDLE_BIN) / (double) BINS_PER_DOUBLING);
  }

  private static double clip(double distance) {
    return Math.max(-MAX_DISTANCE, Math.min(MAX_DISTANCE, distance));
  }
}
