package org.hickorypier.core.scheduling;

/**
 * The size that nineteen of twenty recent amounts do not exceed, to within an eighth.
 *
 * <p>Amounts are counted in buckets of an eighth of a power of two; older counts fade, so a kind of
 * work that has become smaller is seen as smaller after some fifty reports. The steps also keep the
 * number of different reserved sizes small, which the remembered full sizes depend on.
 *
 * <p>Not thread safe.
 */
final class DecayedQuantile {

  private static final double QUANTILE = 0.95;
  private static final int STEPS_PER_DOUBLING = 8;
  private static final int BUCKETS = 30 * STEPS_PER_DOUBLING;
  private static final double DECAY_FACTOR = 0.96;
  private static final double MIN_WEIGHT = 1e-3;

  /** Keeps an exact power of two in its own bucket, whatever the logarithm's last digit. */
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
