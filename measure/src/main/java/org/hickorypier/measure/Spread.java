package org.hickorypier.measure;

import java.util.Arrays;
import java.util.stream.DoubleStream;

/**
 * The values of one figure over the seeds.
 *
 * <p>Immutable.
 */
public final class Spread {

  private final double[] sorted;

  private Spread(double[] sorted) {
    this.sorted = sorted;
  }

  /**
   * Collects values.
   *
   * @param values at least one value
   * @return the spread
   */
  public static Spread of(DoubleStream values) {
    double[] sorted = values.sorted().toArray();
    return new Spread(sorted);
  }

  /**
   * Returns the least value.
   *
   * @return the least
   */
  public double least() {
    return sorted[0];
  }

  /**
   * Returns the middle value.
   *
   * @return the median, the upper of two
   */
  public double median() {
    return sorted[sorted.length / 2];
  }

  /**
   * Returns the largest value.
   *
   * @return the largest
   */
  public double most() {
    return sorted[sorted.length - 1];
  }

  @Override
  public String toString() {
    return Arrays.toString(sorted);
  }
}
