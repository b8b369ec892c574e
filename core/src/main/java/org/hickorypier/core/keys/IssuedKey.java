package org.hickorypier.core.keys;

/**
 * A new key: what its holder gets, and what may be kept.
 *
 * @param presented what the holder presents, {@code keyId.secret}; shown once and not kept
 * @param keyId the public part
 * @param salt the salt
 * @param hash the salted hash of the secret part
 */
public record IssuedKey(String presented, String keyId, byte[] salt, byte[] hash) {

  @Override
  public String toString() {
    return "IssuedKey[" + keyId + "]";
  }
}
