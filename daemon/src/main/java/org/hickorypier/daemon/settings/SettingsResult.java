package org.hickorypier.daemon.settings;

/** What the command line asks the daemon to do. Immutable. */
public sealed interface SettingsResult {

  /**
   * Start with these settings.
   *
   * @param settings the settings, all checked
   */
  record Use(DaemonSettings settings) implements SettingsResult {}

  /**
   * Print this text and exit with code 0.
   *
   * @param text the help, or the list of settings
   */
  record Print(String text) implements SettingsResult {}
}
