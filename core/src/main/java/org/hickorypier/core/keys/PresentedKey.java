package org.hickorypier.core.keys;

import java.util.Optional;

/**
 * A presented key, split into its public and secret parts.
 *
 * @param keyId the public part
 * @param secret the secret part
 */
record PresentedKey(String keyId, String secret) {

  static final char SEPARATOR = '.';

  // Exceeds the length of any issued key. Unauthenticated callers control the header, so a longer
  // value is rejected without parsing.
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
