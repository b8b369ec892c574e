package org.hickorypier.daemon.peer;

import org.hickorypier.wire.message.PeerMessage;

/** Hears of a connection's life. Called on the control thread, in order. */
interface ConnectionOwner {

  /** The connection stands; nobody knows yet who is at the other end. */
  void opened(PeerConnection connection);

  /** The other side has shown who it is. */
  void authenticated(PeerConnection connection, PeerIdentity identity);

  /** A message came, after the authentication. */
  void received(PeerConnection connection, PeerMessage message);

  /** Something came that cannot be read or trusted; the connection is being closed. */
  void refused(PeerConnection connection, String why);

  /** More can be written. */
  void drained(PeerConnection connection);

  /** The connection has ended, authenticated or not. Called once. */
  void ended(PeerConnection connection);
}
