package org.hickorypier.daemon.owner;

/** Thrown when a takeover is no longer wanted by the time the journal has been read. */
final class AbandonedException extends Exception {

  private static final long serialVersionUID = 1L;

  AbandonedException() {
    super("reading the journal took too long");
  }
}
