package org.hickorypier.daemon.settings;

/**
 * One setting that cannot be used.
 *
 * <p>Immutable. A secret's value is masked in it.
 *
 * @param name the flag or the environment variable that was given
 * @param value the value given, masked for a secret; empty if none was given
 * @param allowed what is allowed
 */
public record SettingProblem(String name, String value, String allowed) {

  @Override
  public String toString() {
    String given = value.isEmpty() ? "no value" : "value '" + value + "'";
    return name + ": " + given + ", allowed: " + allowed;
  }
}
