package org.hickorypier.daemon;

/** The daemon could not start. */
public final class DaemonStartException extends Exception {

  /**
   * Creates the exception.
   *
   * @param message what failed
   * @param cause the error of the layer below, or null
   */
  public DaemonStartException(String message, Throwable cause) {
    super(message, cause);
  }
}
