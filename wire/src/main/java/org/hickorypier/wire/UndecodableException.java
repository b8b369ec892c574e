package org.hickorypier.wire;

/** Bytes that are not the expected object, or of a newer version that this program cannot read. */
public final class UndecodableException extends Exception {

  /**
   * Creates the exception.
   *
   * @param message what was expected
   * @param cause the error of the layer below, or null
   */
  public UndecodableException(String message, Throwable cause) {
    super(message, cause);
  }
}
