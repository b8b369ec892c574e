package org.hickorypier.daemon.settings;

import java.util.Objects;

/**
 * A text that must not appear in logs, error messages or printed settings.
 *
 * <p>Immutable and thus thread-safe. {@link #toString} never returns the text.
 */
public final class Secret {

  /** The text that is displayed in place of a secret. */
  public static final String MASK = "********";

  private final String text;

  /**
   * Creates a secret.
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
