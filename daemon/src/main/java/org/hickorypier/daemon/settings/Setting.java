package org.hickorypier.daemon.settings;

import java.util.Locale;

/**
 * The definition of one setting. Immutable.
 *
 * @param name the name of the flag, without the leading dashes
 * @param allowed the description of the allowed values, for the help and error messages
 * @param defaultText the default, or null if the setting is required
 * @param secret whether its value is masked
 * @param parser parses the value
 * @param description the sentence that the help prints
 */
record Setting<T>(
    String name,
    String allowed,
    String defaultText,
    boolean secret,
    ValueParser<T> parser,
    String description) {

  private static final String VARIABLE_PREFIX = "HICKORY_";

  String flag() {
    return "--" + name;
  }

  String variable() {
    return VARIABLE_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  String maskedText(String text) {
    return secret && !text.isEmpty() ? Secret.MASK : text;
  }

  String displayedDefault() {
    if (defaultText == null) {
      return "required";
    }
    return defaultText.isEmpty() ? "none" : defaultText;
  }
}
