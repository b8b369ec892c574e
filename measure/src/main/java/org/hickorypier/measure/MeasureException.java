package org.hickorypier.measure;

/** A measurement could not be made or written down. */
public class MeasureException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what failed
   * @param cause why
   */
  public MeasureException(String message, Throwable cause) {
    super(message, cause);
  }
}
