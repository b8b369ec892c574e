package org.hickorypier.core.fold;

import java.util.Optional;

/**
 * Decides whether the state of a stream is whole, so that an instance may act on it.
 *
 * <p>A pure function, so thread safe.
 *
 * <p>Harm prevented: a new instance that acts on a part of the stream. It would take a withdrawn
 * key whose withdrawal comes later in the stream, or know no team at all because the records of all
 * of them have expired.
 */
public final class ReadinessRule {

  private ReadinessRule() {}

  /**
   * Decides.
   *
   * @param folded the last offset folded, -1 if none
   * @param next the offset that the follower reads next
   * @param caughtUp whether the follower has read the stream to its end
   * @param readyPeer the highest offset folded by a peer that is itself ready, -1 if there is none
   * @return why the state is not whole, or empty if it is
   */
  public static Optional<String> notReadyReason(
      long folded, long next, boolean caughtUp, long readyPeer) {
    if (folded + 1 < next) {
      return Optional.of(
          "records from offset " + (folded + 1) + " have expired and no snapshot was found yet");
    }
    // While the log is down, the state of a ready peer will do: nothing newer can have been
    // acknowledged to anybody. The word of one that is not ready is worth nothing: after a restart
    // of all together, each has read the same first part of the stream.
    boolean fromPeer = readyPeer >= 0 && folded >= readyPeer;
    if (caughtUp || fromPeer) {
      return Optional.empty();
    }
    return Optional.of("the stream was not yet read to its end");
  }
}
