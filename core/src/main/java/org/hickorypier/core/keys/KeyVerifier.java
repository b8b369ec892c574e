package org.hickorypier.core.keys;

import java.security.MessageDigest;
import java.util.Optional;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.Key;

/**
 * Checks presented keys against a configuration.
 *
 * <p>Thread safe: it holds no state. It keeps no cache, so a withdrawn key is dead with the first
 * configuration that says so.
 */
public final class KeyVerifier {

  private static final KeyCheck UNKNOWN = new KeyCheck(KeyStatus.UNKNOWN, "", "");

  private KeyVerifier() {}

  /**
   * Checks a key.
   *
   * <p>A withdrawn key is answered by its id alone: its hash is no longer kept. That tells a
   * stranger no more than that the id, which is public, was once in use.
   *
   * @param configuration the configuration in force
   * @param presented what the caller presented, or null
   * @return what the key opens
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
    // A comparison that ends at the first difference tells by its time how many bytes were right.
    // MessageDigest.isEqual takes the same time for all.
    byte[] hash = SecretHash.of(key.salt(), parsed.get().secret());
    if (!MessageDigest.isEqual(hash, key.hash())) {
      return UNKNOWN;
    }
    return new KeyCheck(KeyStatus.VALID, key.keyId(), key.team());
  }
}
