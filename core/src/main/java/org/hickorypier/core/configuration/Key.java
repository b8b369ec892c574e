package org.hickorypier.core.configuration;

import java.util.Arrays;
import java.util.Objects;

/**
 * A key as configured; the secret itself is not known.
 *
 * <p>Immutable: the byte strings are copied on the way in and out. Once withdrawn, a key never
 * comes back, and its salt and hash are empty.
 *
 * @param keyId the public part
 * @param revision counts its changes, from 1
 * @param team the team's name, empty for an operator's key
 * @param salt the salt
 * @param hash the salted hash of the secret part
 * @param withdrawn whether it was withdrawn
 */
public record Key(
    String keyId, long revision, String team, byte[] salt, byte[] hash, boolean withdrawn) {

  /** Copies the byte strings. */
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
