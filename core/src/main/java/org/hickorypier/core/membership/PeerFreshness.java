package org.hickorypier.core.membership;

/**
 * A peer's word on its configuration.
 *
 * <p>Immutable.
 *
 * @param offset the offset that it has folded
 * @param ageMillis its own age by {@link FreshnessProof}, or {@link #NEVER}
 */
public record PeerFreshness(long offset, long ageMillis) {

  /** The age of an instance that has proved nothing yet. */
  public static final long NEVER = Long.MAX_VALUE;

  /**
   * Returns the text form used between instances.
   *
   * @return offset and age, with a space between
   */
  public String text() {
    return offset + " " + ageMillis;
  }

  /**
   * Reads the text form back.
   *
   * @param text the text form
   * @return the word
   * @throws NumberFormatException if the text is not such a form
   */
  public static PeerFreshness parse(String text) {
    int space = text.indexOf(' ');
    if (space < 0) {
      throw new NumberFormatException("not an offset and an age: " + text);
    }
    return new PeerFreshness(
        Long.parseLong(text.substring(0, space)), Long.parseLong(text.substring(space + 1)));
  }
}
