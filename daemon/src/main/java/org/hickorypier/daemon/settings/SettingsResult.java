package org.hickorypier.daemon.settings;

/** The result of reading the settings: what the daemon has to do. Immutable. */
public sealed interface SettingsResult {

  /**
   * The daemon starts with these settings.
   *
   * @param settings the validated settings
   */
  record Use(DaemonSettings settings) implements SettingsResult {}

  /**
   * The daemon prints a text and exits with code 0.
   *
   * @param text the help, or the list of settings
   */
  record Print(String text) implements SettingsResult {}
}
