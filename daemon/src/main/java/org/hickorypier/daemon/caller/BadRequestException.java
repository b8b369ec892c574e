package org.hickorypier.daemon.caller;

/** A caller's request is malformed. The message names the field, its value and what is allowed. */
public final class BadRequestException extends Exception {

  /**
   * Creates the exception.
   *
   * @param field the field's name
   * @param value the value found
   * @param allowed what is allowed
   */
  public BadRequestException(String field, Object value, String allowed) {
    super("field " + field + ": " + value + " is not allowed; allowed: " + allowed);
  }
}
