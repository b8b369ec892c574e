package org.hickorypier.daemon.settings;

/** Formats the help, the values in use and the reference page of the settings. Stateless. */
final class SettingsText {

  private static final String HELP_HEAD =
      """
      usage: hickoryd [--flag value ...]

      Every flag can be given as an environment variable too. A flag goes before its
      variable, the variable before the default.

        --help
            Prints this text.
        --print-settings
            Prints each value with its source, secrets masked.
      """;

  private static final String REFERENCE_HEAD =
      """
      # Settings of hickoryd

      A flag goes before its environment variable, the variable before the default. All settings are
      checked at start; every problem is reported in one go, with name, value and allowed range.
      `hickoryd --help` prints this list, `hickoryd --print-settings` the values in use with their
      sources, secrets masked. Secrets belong into variables, because other users of a machine can
      read the flags of a process.

      | flag | variable | allowed | default | meaning |
      | --- | --- | --- | --- | --- |
      """;

  private SettingsText() {}

  static String help() {
    StringBuilder text = new StringBuilder(HELP_HEAD);
    for (Setting<?> setting : SettingCatalogue.ALL) {
      text.append("  ").append(setting.flag()).append(", ").append(setting.variable());
      text.append("\n      ").append(setting.description());
      text.append("\n      Allowed: ").append(setting.allowed());
      text.append(". Default: ").append(setting.displayedDefault()).append(".\n");
    }
    return text.toString();
  }

  static String values(ResolvedSettings resolved) {
    StringBuilder text = new StringBuilder();
    for (ResolvedSettings.Entry entry : resolved.entries()) {
      String maskedText = entry.setting().maskedText(entry.text());
      String value = maskedText.isEmpty() ? "none" : maskedText;
      text.append(
          "%-26s %-28s %s\n".formatted(entry.setting().flag(), value, entry.source().text()));
    }
    return text.toString();
  }

  static String reference() {
    StringBuilder text = new StringBuilder(REFERENCE_HEAD);
    for (Setting<?> setting : SettingCatalogue.ALL) {
      text.append("| `").append(setting.flag());
      text.append("` | `").append(setting.variable());
      text.append("` | ").append(setting.allowed());
      text.append(" | ").append(setting.displayedDefault());
      text.append(" | ").append(setting.description()).append(" |\n");
    }
    return text.toString();
  }
}
