package org.hickorypier.daemon.link;

/** Thrown when a request over a link gets no reply; it may or may not have been carried out. */
public final class LinkException extends Exception {

  /**
   * Creates the exception.
   *
   * @param message the reason
   */
  public LinkException(String message) {
    super(message);
  }
}
