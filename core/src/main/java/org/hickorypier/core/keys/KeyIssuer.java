package org.hickorypier.core.keys;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Generates keys of the form {@code keyId.secret}.
 *
 * <p>Thread-safe, because {@link SecureRandom} is.
 */
public final class KeyIssuer {

  // 64 bits. Every instance draws ids at random, and the probability of a collision among a million
  // ids is below one in ten million. A collision is harmless: the fold rejects the second key.
  private static final int KEY_ID_BYTES = 8;
  private static final int SECRET_BYTES = 32;
  private static final int SALT_BYTES = 16;

  private final SecureRandom random;

  /**
   * Creates an issuer.
   *
   * @param random the source of ids, secrets and salts
   */
  public KeyIssuer(SecureRandom random) {
    this.random = random;
  }

  /**
   * Generates a key.
   *
   * @return the key, with the salt and hash to store
   */
  public IssuedKey issue() {
    String keyId = HexFormat.of().formatHex(randomBytes(KEY_ID_BYTES));
    String secret =
        Base64.getUrlEncoder().withoutPadding().encodeToString(randomBytes(SECRET_BYTES));
    byte[] salt = randomBytes(SALT_BYTES);
    return new IssuedKey(
        keyId + PresentedKey.SEPARATOR + secret, keyId, salt, SecretHash.of(salt, secret));
  }

  private byte[] randomBytes(int count) {
    byte[] bytes = new byte[count];
    random.nextBytes(bytes);
    return bytes;
  }
}
