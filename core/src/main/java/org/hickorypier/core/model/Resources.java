package org.hickorypier.core.model;

/**
 * An amount of the three resources that a worker offers and a task declares.
 *
 * <p>Immutable, so safe to share between threads. Amounts are never negative.
 *
 * @param milliProcessors thousandths of a processor
 * @param memoryMebibytes memory in MiB
 * @param accelerators whole accelerators
 */
public record Resources(long milliProcessors, long memoryMebibytes, int accelerators) {

  /** No resources at all. */
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
   * Returns the sum of both amounts.
   *
   * @param other the amount to add
   * @return the sum
   */
  public Resources plus(Resources other) {
    return new Resources(
        milliProcessors + other.milliProcessors,
        memoryMebibytes + other.memoryMebibytes,
        accelerators + other.accelerators);
  }

  /**
   * Returns this amount less the other.
   *
   * @param other the amount to take away; must fit into this one
   * @return the difference
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
   * @param room the room to fit into
   * @return true if no dimension exceeds the room
   */
  public boolean fitsInto(Resources room) {
    return milliProcessors <= room.milliProcessors
        && memoryMebibytes <= room.memoryMebibytes
        && accelerators <= room.accelerators;
  }

  /**
   * Returns the largest of the three fractions of a total, the dominant share.
   *
   * @param total the total to divide by; a dimension of zero counts as unused
   * @return a fraction, 0 if nothing is used
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
