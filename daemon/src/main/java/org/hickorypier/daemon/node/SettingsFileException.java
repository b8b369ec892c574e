package org.hickorypier.daemon.node;

/** Thrown if the settings file cannot be read or holds an invalid value. */
public final class SettingsFileException extends Exception {

  /**
   * Creates the exception.
   *
   * @param message names the setting, its value and the allowed values
   * @param cause the underlying error, or null
   */
  public SettingsFileException(String message, Throwable cause) {
    super(message, cause);
  }
}
