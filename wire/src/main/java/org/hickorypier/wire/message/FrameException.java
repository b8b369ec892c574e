package org.hickorypier.wire.message;

/** Bytes on a peer connection that are no frame; the connection cannot be read any further. */
public final class FrameException extends Exception {

  /**
   * Creates the exception.
   *
   * @param message what is wrong
   */
  public FrameException(String message) {
    super(message);
  }
}
