package org.hickorypier.daemon.settings;

/** Where the value of a setting came from, in the order in which they are asked. */
public enum SettingSource {
  /** A flag of the command line. */
  FLAG("flag"),
  /** An environment variable. */
  ENVIRONMENT("environment"),
  /** Neither, so the default stands. */
  DEFAULT("default");

  private final String text;

  SettingSource(String text) {
    this.text = text;
  }

  /**
   * Returns the name shown by {@code --print-settings}.
   *
   * @return one word in lower case
   */
  public String text() {
    return text;
  }
}
