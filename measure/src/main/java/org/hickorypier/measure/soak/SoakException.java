package org.hickorypier.measure.soak;

/** A soak could not be set up. */
public final class SoakException extends Exception {

  private static final long serialVersionUID = 1L;

  SoakException(String message, Throwable cause) {
    super(message, cause);
  }
}
