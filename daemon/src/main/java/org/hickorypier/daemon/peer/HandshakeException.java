package org.hickorypier.daemon.peer;

/** The other side of a connection did not show who it is. */
final class HandshakeException extends Exception {

  HandshakeException(String message) {
    super(message);
  }
}
