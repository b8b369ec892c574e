package org.hickorypier.core.keys;

/**
 * A newly issued key: the key for its holder, and the salted hash to store.
 *
 * @param presented the key that the holder presents, {@code keyId.secret}; shown once and not
 *     stored
 * @param keyId the public part of the key
 * @param salt the salt of the hash
 * @param hash the salted hash of the secret part
 */
public record IssuedKey(String presented, String keyId, byte[] salt, byte[] hash) {

  @Override
  public String toString() {
    return "IssuedKey[" + keyId + "]";
  }
}
