package org.hickorypier.daemon.settings;

import java.util.Objects;

/**
 * A text that must not reach logs, error messages or printed settings.
 *
 * <p>Immutable, so safe to share between threads. {@link #toString} never shows the text.
 */
public final class Secret {

  /** What is shown in place of a secret. */
  public static final String MASK = "********";

  private final String text;

  /**
   * Wraps a text.
   *
   * @param text the secret text
   */
  public Secret(String text) {
    this.text = Objects.requireNonNull(text);
  }

  /**
   * Returns the secret text.
   *
   * @return the text
   */
  public String reveal() {
    return text;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Secret secret && secret.text.equals(text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  @Override
  public String toString() {
    return MASK;
  }
}
