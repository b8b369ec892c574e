package org.hickorypier.measure;

/** An argument has a value that is not allowed; the message names the value and the range. */
public class BadArgumentException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message a sentence with the value and the allowed range
   */
  public BadArgumentException(String message) {
    super(message);
  }
}
