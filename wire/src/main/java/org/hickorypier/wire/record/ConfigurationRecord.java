package org.hickorypier.wire.record;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * A record of the configuration stream.
 *
 * <p>Immutable. Every change carries an id, under which it takes effect once however often it was
 * appended, and the revision of its subject on which the operator's decision rested.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = ConfigurationRecord.PutTeam.class, name = "team"),
  @JsonSubTypes.Type(value = ConfigurationRecord.GiveKey.class, name = "key"),
  @JsonSubTypes.Type(value = ConfigurationRecord.WithdrawKey.class, name = "unkey"),
  @JsonSubTypes.Type(value = ConfigurationRecord.PutDrain.class, name = "drain"),
  @JsonSubTypes.Type(value = ConfigurationRecord.Snapshot.class, name = "snapshot"),
})
public sealed interface ConfigurationRecord {

  /** A basis that fits whatever revision the subject has. */
  long ANY_REVISION = -1;

  /**
   * Returns the id under which the change takes effect once.
   *
   * @return the id
   */
  String id();

  /**
   * Returns the revision of the subject on which the change rests.
   *
   * @return the revision, 0 for a new subject, or {@link #ANY_REVISION}
   */
  long basis();

  /**
   * Creates a team or changes its share and upper limit.
   *
   * @param id the id of the change
   * @param basis the team's revision, 0 to create it
   * @param team the team's name
   * @param share its weight when the cell is full
   * @param upperLimit the most tasks it may run across the fleet
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PutTeam(String id, long basis, String team, double share, int upperLimit)
      implements ConfigurationRecord {}

  /**
   * Gives a key to a team, or to the operators.
   *
   * @param id the id of the change
   * @param basis the key's revision, 0 for a new one
   * @param keyId the public part of the key
   * @param team the team's name, empty for an operator's key
   * @param salt the salt
   * @param hash the salted hash of the secret part
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record GiveKey(String id, long basis, String keyId, String team, byte[] salt, byte[] hash)
      implements ConfigurationRecord {}

  /**
   * Withdraws a key for good.
   *
   * @param id the id of the change
   * @param basis the key's revision
   * @param keyId the public part of the key
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record WithdrawKey(String id, long basis, String keyId) implements ConfigurationRecord {}

  /**
   * Starts or ends the draining of an instance or worker.
   *
   * @param id the id of the change
   * @param basis the revision of the drain
   * @param name the name of the instance or worker
   * @param draining whether it takes no new work
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PutDrain(String id, long basis, String name, boolean draining)
      implements ConfigurationRecord {}

  /**
   * The whole configuration as folded up to an offset, for instances that start after the records
   * before it have expired.
   *
   * @param id the id of the record
   * @param upTo the last offset that went into it
   * @param teams all teams
   * @param keys all keys, the withdrawn ones too
   * @param drains all drains
   * @param ids the ids folded of late, oldest first
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Snapshot(
      String id,
      long upTo,
      List<TeamEntry> teams,
      List<KeyEntry> keys,
      List<DrainEntry> drains,
      List<FoldedIdEntry> ids)
      implements ConfigurationRecord {

    @Override
    public long basis() {
      return ANY_REVISION;
    }
  }

  /**
   * In a snapshot: a team.
   *
   * @param name its name
   * @param revision its revision
   * @param share its weight
   * @param upperLimit its upper limit
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record TeamEntry(String name, long revision, double share, int upperLimit) {}

  /**
   * In a snapshot: a key.
   *
   * @param keyId its public part
   * @param revision its revision
   * @param team the team's name, empty for an operator's key
   * @param salt the salt, empty once withdrawn
   * @param hash the salted hash, empty once withdrawn
   * @param withdrawn whether it was withdrawn
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record KeyEntry(
      String keyId, long revision, String team, byte[] salt, byte[] hash, boolean withdrawn) {}

  /**
   * In a snapshot: a drain.
   *
   * @param name the name of the instance or worker
   * @param revision its revision
   * @param draining whether it takes no new work
   * @param offset the offset of its last change
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record DrainEntry(String name, long revision, boolean draining, long offset) {}
}
