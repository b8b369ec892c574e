package org.hickorypier.daemon.settings;

import java.util.Locale;

/**
 * The definition of one setting. Immutable.
 *
 * @param name the flag without its dashes
 * @param allowed the allowed values, for help and errors
 * @param defaultText the default, or null if the setting must be given
 * @param secret whether its value is masked
 * @param parser reads the value
 * @param description a sentence for help
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
