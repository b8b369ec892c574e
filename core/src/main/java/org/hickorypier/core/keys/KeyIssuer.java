package org.hickorypier.core.keys;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Makes keys of the form {@code keyId.secret}.
 *
 * <p>Thread safe, as {@link SecureRandom} is.
 */
public final class KeyIssuer {

  // 64 bits: ids are drawn at random by any instance, and a million of them collide with a chance
  // below one in ten million. A collision is no harm: the fold refuses the second key.
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
   * Makes a key.
   *
   * @return the key, with what may be kept of it
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
