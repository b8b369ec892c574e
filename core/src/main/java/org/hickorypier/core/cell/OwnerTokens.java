package org.hickorypier.core.cell;

/**
 * Fencing tokens of the owners of a cell: the owner's epoch, and below it the number of the token
 * among those of the owner.
 *
 * <p>Invariant: each token of an owner is higher than those of all earlier owners, and higher than
 * those that the owner has issued before. Confined to the control thread.
 */
public final class OwnerTokens {

  private static final int NUMBER_BITS = 24;
  private static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;

  private final int epoch;
  private long number;

  OwnerTokens(int epoch) {
    this.epoch = epoch;
  }

  /** Returns the highest token that this owner has issued. */
  long latest() {
    return firstOf(epoch) + number;
  }

  /** Issues a token. The last one is issued again if there is no other left. */
  long next() {
    number = Math.min(MAX_NUMBER, number + 1);
    return latest();
  }

  /**
   * Returns the lowest token of an owner.
   *
   * @param epoch the owner's epoch
   * @return the token
   */
  public static long firstOf(int epoch) {
    return (long) epoch << NUMBER_BITS;
  }

  /**
   * Returns the epoch of the owner that issued a token.
   *
   * @param token the token
   * @return the epoch
   */
  public static int epochOf(long token) {
    return (int) (token >> NUMBER_BITS);
  }
}
