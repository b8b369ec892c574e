package org.hickorypier.language.result;

/** A text that is not the JSON of a result. */
public final class ResultFormatException extends Exception {

  /**
   * Creates the exception.
   *
   * @param cause the error of the layer below, or null
   */
  public ResultFormatException(Throwable cause) {
    super("the text is not the JSON of a result", cause);
  }
}
