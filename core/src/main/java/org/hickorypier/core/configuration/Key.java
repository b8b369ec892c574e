package org.hickorypier.core.configuration;

import java.util.Arrays;
import java.util.Objects;

/**
 * A configured key, without its secret.
 *
 * <p>Immutable: the byte arrays are copied on construction and on access. A withdrawn key is never
 * reinstated, and its salt and hash are empty.
 *
 * @param keyId the public part
 * @param revision number of changes to the key, from 1
 * @param team the name of the team; empty for an operator's key
 * @param salt the salt of the hash
 * @param hash the salted hash of the secret part
 * @param withdrawn whether the key was withdrawn
 */
public record Key(
    String keyId, long revision, String team, byte[] salt, byte[] hash, boolean withdrawn) {

  /** Copies the byte arrays. */
  public Key {
    salt = salt.clone();
    hash = hash.clone();
  }

  @Override
  public byte[] salt() {
    return salt.clone();
  }

  @Override
  public byte[] hash() {
    return hash.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Key that
        && keyId.equals(that.keyId)
        && revision == that.revision
        && team.equals(that.team)
        && Arrays.equals(salt, that.salt)
        && Arrays.equals(hash, that.hash)
        && withdrawn == that.withdrawn;
  }

  @Override
  public int hashCode() {
    return Objects.hash(keyId, revision, withdrawn);
  }

  @Override
  public String toString() {
    return "Key[" + keyId + ", revision " + revision + ", team " + team + "]";
  }
}
