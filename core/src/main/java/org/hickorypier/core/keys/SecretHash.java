package org.hickorypier.core.keys;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Computes the salted hash of a key's secret part: SHA-256 over salt and secret.
 *
 * <p>A slow hash such as PBKDF2 protects passwords that people choose, which have some 30 bits of
 * entropy and can be guessed offline from a stolen hash. These secrets are 256 random bits, so a
 * fast hash is sufficient. It takes about a microsecond per request, where PBKDF2 would take
 * milliseconds of processor time at some thousand requests a second. The salt prevents equal hashes
 * in the log if a secret is ever issued twice.
 *
 * <p>Thread-safe: it holds no state.
 */
final class SecretHash {

  private static final String ALGORITHM = "SHA-256";

  private SecretHash() {}

  static byte[] of(byte[] salt, String secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
      digest.update(salt);
      return digest.digest(secret.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException error) {
      throw new IllegalStateException(
          "the Java platform lacks the required algorithm " + ALGORITHM, error);
    }
  }
}
