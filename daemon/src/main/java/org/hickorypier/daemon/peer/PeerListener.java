package org.hickorypier.daemon.peer;

import org.hickorypier.wire.message.PeerMessage;

/**
 * Hears what happens on the links. Called on the control thread.
 *
 * <p>For each peer, {@code up} and {@code down} take turns, and messages come in between.
 */
public interface PeerListener {

  /**
   * A link to a peer stands.
   *
   * @param peer the peer; a restarted one has a new incarnation
   */
  default void up(PeerIdentity peer) {}

  /**
   * The link to a peer is gone. The peer may be alive.
   *
   * @param peer the peer
   */
  default void down(PeerIdentity peer) {}

  /**
   * A message came that asks for no answer: a digest or a pushed configuration record.
   *
   * @param peer the sender
   * @param message the message
   */
  default void message(PeerIdentity peer, PeerMessage message) {}
}
