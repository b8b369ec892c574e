package org.hickorypier.core.keys;

import java.util.Optional;

/**
 * A key as presented, split in its parts.
 *
 * @param keyId the public part
 * @param secret the secret part
 */
record PresentedKey(String keyId, String secret) {

  static final char SEPARATOR = '.';

  // Longer than any issued key. The header is a stranger's to fill; nothing longer is looked at.
  private static final int MAX_LENGTH_CHARS = 256;

  static Optional<PresentedKey> parse(String presented) {
    if (presented == null || presented.length() > MAX_LENGTH_CHARS) {
      return Optional.empty();
    }
    int separator = presented.indexOf(SEPARATOR);
    if (separator <= 0 || separator == presented.length() - 1) {
      return Optional.empty();
    }
    return Optional.of(
        new PresentedKey(presented.substring(0, separator), presented.substring(separator + 1)));
  }

  @Override
  public String toString() {
    return "PresentedKey[" + keyId + "]";
  }
}
