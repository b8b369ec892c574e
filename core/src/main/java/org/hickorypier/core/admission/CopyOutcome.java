package org.hickorypier.core.admission;

/**
 * What is known of one copy of a request that was sent to an instance as the owner of the cell.
 *
 * <p>Immutable.
 *
 * @param kind what became of the copy
 * @param epoch with {@link Kind#DENIED}, the epoch under which the instance may have written the
 *     copy to the journal, {@link #NOT_WRITTEN} or {@link #NOT_TOLD}; otherwise {@link #NOT_TOLD}
 */
public record CopyOutcome(Kind kind, int epoch) {

  /** The instance has received the copy and never writes it. */
  public static final int NOT_WRITTEN = 0;

  /** The instance did not say under which epoch it may have written the copy. */
  public static final int NOT_TOLD = -1;

  /** The copy is under way, and its reply may still arrive. */
  public static final CopyOutcome OPEN = new CopyOutcome(Kind.OPEN, NOT_TOLD);

  /** No reply can arrive any more, but the copy itself may still reach the instance. */
  public static final CopyOutcome LOST = new CopyOutcome(Kind.LOST, NOT_TOLD);

  /** What became of a copy. */
  public enum Kind {
    /** No reply has arrived yet. */
    OPEN,
    /** The instance replied that it is not, or no longer, the owner. */
    DENIED,
    /** The link broke before a reply arrived. */
    LOST
  }

  /**
   * Returns the outcome of a copy to which the instance replied that it is not the owner.
   *
   * @param epoch the epoch under which it may have written the copy, {@link #NOT_WRITTEN} or {@link
   *     #NOT_TOLD}
   * @return the outcome
   */
  public static CopyOutcome denied(int epoch) {
    return new CopyOutcome(Kind.DENIED, epoch);
  }

  /**
   * Returns the outcome of a copy that its receiver refused.
   *
   * @return the outcome
   */
  public static CopyOutcome refused() {
    return denied(NOT_WRITTEN);
  }
}
