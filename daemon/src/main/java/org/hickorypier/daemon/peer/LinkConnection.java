package org.hickorypier.daemon.peer;

import org.hickorypier.wire.message.PeerMessage;

/** An authenticated connection, as {@link PeerLink} sees it. Used on the control thread. */
interface LinkConnection {

  /**
   * Returns whether what was written has not drained yet, so that nothing more is to be written.
   */
  boolean isFull();

  /** Writes one frame with an encoded message. */
  void write(PeerMessage message, byte[] encoded);

  /** Closes the connection. Idempotent. */
  void close();
}
