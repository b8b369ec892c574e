package org.hickorypier.daemon.settings;

/** The sources of setting values, in descending order of precedence. */
public enum SettingSource {
  /** A command line flag. */
  FLAG("flag"),
  /** An environment variable. */
  ENVIRONMENT("environment"),
  /** The default, used if neither a flag nor a variable is given. */
  DEFAULT("default");

  private final String text;

  SettingSource(String text) {
    this.text = text;
  }

  /**
   * Returns the name that {@code --print-settings} prints.
   *
   * @return a word in lower case
   */
  public String text() {
    return text;
  }
}
