package org.hickorypier.core.membership;

/**
 * The state of a peer's configuration, as the peer reports it.
 *
 * <p>Immutable.
 *
 * @param offset the offset that the peer has applied
 * @param ageMillis the age in milliseconds of its newest {@link FreshnessProof}, or {@link #NEVER}
 */
public record PeerFreshness(long offset, long ageMillis) {

  /** The age of an instance that has no proof yet. */
  public static final long NEVER = Long.MAX_VALUE;

  /**
   * Returns the text form used between instances.
   *
   * @return offset and age, separated by a space
   */
  public String text() {
    return offset + " " + ageMillis;
  }

  /**
   * Parses the text form.
   *
   * @param text the text form
   * @return the reported state
   * @throws NumberFormatException if the text is not in this form
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
