package org.hickorypier.core.model;

/**
 * Amounts of the three resources that a worker offers and a task declares.
 *
 * <p>Immutable and thread-safe. Amounts are never negative.
 *
 * @param milliProcessors thousandths of a processor
 * @param memoryMebibytes memory in MiB
 * @param accelerators number of whole accelerators
 */
public record Resources(long milliProcessors, long memoryMebibytes, int accelerators) {

  /** Zero of each resource. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Checks that no amount is negative. */
  public Resources {
    if (milliProcessors < 0 || memoryMebibytes < 0 || accelerators < 0) {
      throw new IllegalArgumentException(
          "resources must not be negative: "
              + milliProcessors
              + ", "
              + memoryMebibytes
              + ", "
              + accelerators);
    }
  }

  /**
   * Returns the sum of two amounts.
   *
   * @param other the amount to add
   * @return the sum; an amount that does not fit its type is the largest one that does
   */
  public Resources plus(Resources other) {
    return new Resources(
        cappedSum(milliProcessors, other.milliProcessors),
        cappedSum(memoryMebibytes, other.memoryMebibytes),
        (int) Math.min(Integer.MAX_VALUE, (long) accelerators + other.accelerators));
  }

  /** Returns the sum of amounts that are not negative, which is negative if it overflows. */
  private static long cappedSum(long amount, long other) {
    long sum = amount + other;
    return sum < 0 ? Long.MAX_VALUE : sum;
  }

  /**
   * Returns the amounts of a number of tasks.
   *
   * @param count the number of tasks, not negative
   * @return the product; an amount that does not fit its type is the largest one that does
   */
  public Resources times(int count) {
    return new Resources(
        cappedProduct(milliProcessors, count),
        cappedProduct(memoryMebibytes, count),
        (int) Math.min(Integer.MAX_VALUE, (long) accelerators * count));
  }

  private static long cappedProduct(long amount, int count) {
    return Math.multiplyHigh(amount, count) == 0 && amount * count >= 0
        ? amount * count
        : Long.MAX_VALUE;
  }

  /**
   * Returns the larger of two amounts in each dimension.
   *
   * @param other the other amount
   * @return the larger amounts
   */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(milliProcessors, other.milliProcessors),
        Math.max(memoryMebibytes, other.memoryMebibytes),
        Math.max(accelerators, other.accelerators));
  }

  /**
   * Returns this amount minus the other.
   *
   * @param other the amount to subtract; must fit into this one
   * @return the difference
   * @throws IllegalArgumentException if the other amount does not fit into this one
   */
  public Resources minus(Resources other) {
    return new Resources(
        milliProcessors - other.milliProcessors,
        memoryMebibytes - other.memoryMebibytes,
        accelerators - other.accelerators);
  }

  /**
   * Tells whether this amount fits into the other in every dimension.
   *
   * @param capacity the capacity to fit into
   * @return true if no dimension exceeds the capacity
   */
  public boolean fitsInto(Resources capacity) {
    return milliProcessors <= capacity.milliProcessors
        && memoryMebibytes <= capacity.memoryMebibytes
        && accelerators <= capacity.accelerators;
  }

  /**
   * Returns the dominant share: the largest of the three fractions of a total.
   *
   * @param total the total capacity; a dimension of zero counts as unused
   * @return the fraction, 0 if nothing is used
   */
  public double dominantShare(Resources total) {
    double processors = fraction(milliProcessors, total.milliProcessors);
    double memory = fraction(memoryMebibytes, total.memoryMebibytes);
    double acceleratorShare = fraction(accelerators, total.accelerators);
    return Math.max(processors, Math.max(memory, acceleratorShare));
  }

  private static double fraction(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }
}
