package org.hickorypier.core.fold;

import java.util.Optional;

/**
 * Decides whether the state of a stream is complete, so that an instance may act on it.
 *
 * <p>Stateless and thread-safe.
 *
 * <p>A new instance must not act on a part of the stream. It would accept a withdrawn key whose
 * withdrawal comes later in the stream, or know no team because the records of all teams have
 * expired.
 */
public final class ReadinessRule {

  private ReadinessRule() {}

  /**
   * Returns the reason why the state is not complete.
   *
   * @param foldedOffset the last folded offset, -1 if there is none
   * @param nextOffset the offset that the follower reads next
   * @param caughtUp whether the follower has read the stream to its end
   * @param readyPeerOffset the highest offset folded by a peer that is ready, -1 if there is none
   * @return the reason in human-readable form, or empty if the state is complete
   */
  public static Optional<String> notReadyReason(
      long foldedOffset, long nextOffset, boolean caughtUp, long readyPeerOffset) {
    if (foldedOffset + 1 < nextOffset) {
      return Optional.of(
          "records from offset "
              + (foldedOffset + 1)
              + " have expired and no snapshot was found yet");
    }
    // While the log is unavailable, the state of a ready peer is sufficient, since no newer record
    // can have been acknowledged. The state of a peer that is not ready is not: after a
    // simultaneous restart, all instances may have read only the same first part of the stream.
    boolean hasReadyPeerState = readyPeerOffset >= 0 && foldedOffset >= readyPeerOffset;
    if (caughtUp || hasReadyPeerState) {
      return Optional.empty();
    }
    return Optional.of("the stream was not yet read to its end");
  }
}
