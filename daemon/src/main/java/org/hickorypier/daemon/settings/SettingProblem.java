package org.hickorypier.daemon.settings;

/**
 * A missing or invalid setting. Immutable; the value of a secret is masked.
 *
 * @param name the flag, the environment variable, or the unknown word of the command line
 * @param value the given value, masked for a secret; empty if none was given
 * @param allowed the description of the allowed values
 */
public record SettingProblem(String name, String value, String allowed) {

  @Override
  public String toString() {
    String given = value.isEmpty() ? "no value" : "value '" + value + "'";
    return name + ": " + given + ", allowed: " + allowed;
  }
}
