package org.hickorypier.core.keys;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The salted hash of a key's secret part, SHA-256 over salt and secret.
 *
 * <p>A slow hash such as PBKDF2 is for secrets that people choose, of some 30 bits, which can be
 * guessed offline from a stolen hash. The secrets here are 256 random bits, so one fast hash leaves
 * nothing to guess, and it costs about a microsecond for each request where PBKDF2 would cost
 * milliseconds of processor at some thousand requests a second. The salt keeps equal hashes from
 * showing in the log if a secret is ever given twice.
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
      throw new IllegalStateException("every Java platform has " + ALGORITHM, error);
    }
  }
}
