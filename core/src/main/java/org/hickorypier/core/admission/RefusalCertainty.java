package org.hickorypier.core.admission;

import java.util.Collection;

/**
 * Decides whether a request of which several copies were sent may be refused as "not accepted".
 *
 * <p>An owner that refuses a request holds nothing of it and writes nothing of the copy that it
 * refuses. It knows all that earlier epochs wrote: its claim read the journal to the end, and the
 * claim fenced those epochs, so that their late appends fail. What remains are the other copies.
 * One that was denied after a receiver may have written it under an earlier epoch is therefore not
 * in the journal. One that was denied under the same or a later epoch may be in it, since the
 * refusing owner may have been replaced without noticing. One without a reply may still reach an
 * instance that becomes the owner later, also on a link that its sender has closed.
 *
 * <p>Stateless.
 */
public final class RefusalCertainty {

  private RefusalCertainty() {}

  /** Whether a request can be refused. */
  public enum Verdict {
    /** No owner has accepted the request, and none does. */
    CERTAIN,
    /** The refusal becomes certain or uncertain with the replies to copies that are open. */
    OPEN,
    /** The request may be accepted. */
    UNKNOWN
  }

  /**
   * Evaluates the refusal of one copy.
   *
   * @param refusingEpoch the epoch of the owner that refused the copy; not positive if unknown
   * @param otherCopies all other copies of the request
   * @return whether the request can be refused
   */
  public static Verdict ofRefusal(int refusingEpoch, Collection<CopyOutcome> otherCopies) {
    boolean open = false;
    for (CopyOutcome copy : otherCopies) {
      open |= copy.kind() == CopyOutcome.Kind.OPEN;
      boolean excluded =
          copy.kind() == CopyOutcome.Kind.DENIED
              && (copy.epoch() == CopyOutcome.NOT_WRITTEN
                  || copy.epoch() > 0 && copy.epoch() < refusingEpoch);
      if (!excluded && copy.kind() != CopyOutcome.Kind.OPEN) {
        return Verdict.UNKNOWN;
      }
    }
    return open ? Verdict.OPEN : Verdict.CERTAIN;
  }

  /**
   * Evaluates a request that no owner has refused, at the end of its caller's time.
   *
   * @param copies all copies of the request
   * @return true if no copy was written or can be, so that the request can be refused
   */
  public static boolean isNeverWritten(Collection<CopyOutcome> copies) {
    return ofRefusal(CopyOutcome.NOT_WRITTEN, copies) == Verdict.CERTAIN;
  }
}
