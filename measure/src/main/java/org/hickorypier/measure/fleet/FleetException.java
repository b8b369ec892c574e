package org.hickorypier.measure.fleet;

/** A process of the fleet could not be started or reached. */
public final class FleetException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what failed
   * @param cause why, or null
   */
  public FleetException(String message, Throwable cause) {
    super(message, cause);
  }
}
