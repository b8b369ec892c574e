package org.hickorypier.core.keys;

import java.security.MessageDigest;
import java.util.Optional;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.Key;

/**
 * Checks presented keys against a configuration.
 *
 * <p>Thread-safe: it holds no state. It has no cache, so a withdrawn key is rejected as soon as the
 * configuration contains its withdrawal.
 */
public final class KeyVerifier {

  private static final KeyCheck UNKNOWN = new KeyCheck(KeyStatus.UNKNOWN, "", "");

  private KeyVerifier() {}

  /**
   * Checks a presented key.
   *
   * <p>A withdrawn key is recognised by its id alone, because its hash is no longer stored. This
   * reveals to an unauthenticated caller only that the id, which is public, was once in use.
   *
   * @param configuration the configuration in force
   * @param presented the key as the caller presented it, or null
   * @return the status of the key, and its team if it is valid
   */
  public static KeyCheck check(Configuration configuration, String presented) {
    Optional<PresentedKey> parsed = PresentedKey.parse(presented);
    if (parsed.isEmpty()) {
      return UNKNOWN;
    }
    Key key = configuration.keys().get(parsed.get().keyId());
    if (key == null) {
      return UNKNOWN;
    }
    if (key.withdrawn()) {
      return new KeyCheck(KeyStatus.WITHDRAWN, key.keyId(), "");
    }
    // A comparison that stops at the first difference leaks through its duration how many bytes
    // match. MessageDigest.isEqual runs in constant time.
    byte[] hash = SecretHash.of(key.salt(), parsed.get().secret());
    if (!MessageDigest.isEqual(hash, key.hash())) {
      return UNKNOWN;
    }
    return new KeyCheck(KeyStatus.VALID, key.keyId(), key.team());
  }
}
