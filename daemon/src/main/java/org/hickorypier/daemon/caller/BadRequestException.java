package org.hickorypier.daemon.caller;

/**
 * Thrown for a malformed caller request. The message names the field, its value and the allowed
 * values.
 */
public final class BadRequestException extends Exception {

  /**
   * Creates the exception.
   *
   * @param field the name of the field
   * @param value the rejected value
   * @param allowed a description of the allowed values
   */
  public BadRequestException(String field, Object value, String allowed) {
    super("field " + field + ": " + value + " is not allowed; allowed: " + allowed);
  }
}
