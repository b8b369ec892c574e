package org.hickorypier.daemon.owner;

/** A takeover that is not wanted any more when the journal has been read. */
final class AbandonedException extends Exception {

  private static final long serialVersionUID = 1L;

  AbandonedException() {
    super("reading the journal took too long");
  }
}
