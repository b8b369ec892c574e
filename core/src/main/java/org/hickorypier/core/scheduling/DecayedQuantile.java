package org.hickorypier.core.scheduling;

/**
 * A decayed 95th percentile of recent amounts, accurate to within an eighth.
 *
 * <p>Amounts are counted in eight buckets per power of two. Older counts decay, so that the value
 * follows a decrease in size after some 50 reports. The bucket steps also keep the number of
 * distinct reserved sizes small, which the record of blocked sizes in {@link ShapeTable} relies on.
 *
 * <p>Not thread-safe.
 */
final class DecayedQuantile {

  private static final double QUANTILE = 0.95;
  private static final int STEPS_PER_DOUBLING = 8;
  private static final int BUCKETS = 30 * STEPS_PER_DOUBLING;
  private static final double DECAY_FACTOR = 0.96;
  private static final double MIN_WEIGHT = 1e-3;

  /** Keeps an exact power of two in its own bucket despite rounding errors of the logarithm. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final float[] weights = new float[BUCKETS];
  private int highestBucket;

  void add(long amount) {
    int top = 0;
    for (int i = 0; i <= highestBucket; i++) {
      weights[i] *= (float) DECAY_FACTOR;
      if (weights[i] > MIN_WEIGHT) {
        top = i;
      }
    }
    int bucket = bucketOf(amount);
    weights[bucket]++;
    highestBucket = Math.max(top, bucket);
  }

  long value() {
    double total = 0;
    for (int i = 0; i <= highestBucket; i++) {
      total += weights[i];
    }
    double above = total * (1 - QUANTILE);
    int bucket = highestBucket;
    while (bucket > 0 && weights[bucket] <= above) {
      above -= weights[bucket];
      bucket--;
    }
    return upperBound(bucket);
  }

  private static int bucketOf(long amount) {
    if (amount <= 1) {
      return 0;
    }
    double doublings = Math.log(amount) / Math.log(2);
    int step = (int) Math.ceil(doublings * STEPS_PER_DOUBLING - ROUNDING_TOLERANCE);
    return Math.min(BUCKETS - 1, step);
  }

  private static long upperBound(int bucket) {
    return bucket == 0 ? 1 : (long) Math.floor(Math.pow(2, (double) bucket / STEPS_PER_DOUBLING));
  }
}
