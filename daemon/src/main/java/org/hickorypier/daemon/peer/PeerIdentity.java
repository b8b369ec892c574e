package org.hickorypier.daemon.peer;

import java.util.Optional;

/**
 * One run of one entry instance.
 *
 * <p>Immutable. A restarted instance keeps its name and is a new incarnation.
 *
 * @param name the instance's name
 * @param incarnation the number of its run, higher than those before
 */
public record PeerIdentity(String name, long incarnation) {

  private static final char SEPARATOR = '#';

  /**
   * Reads the text form back.
   *
   * @param text the text form, {@code name#incarnation}
   * @return the identity, or empty if the text is no such form
   */
  public static Optional<PeerIdentity> parse(String text) {
    int separator = text.lastIndexOf(SEPARATOR);
    if (separator < 0) {
      return Optional.empty();
    }
    try {
      long incarnation = Long.parseLong(text.substring(separator + 1));
      return Optional.of(new PeerIdentity(text.substring(0, separator), incarnation));
    } catch (NumberFormatException error) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return name + SEPARATOR + incarnation;
  }
}
