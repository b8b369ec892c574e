package org.hickorypier.core.configuration;

import org.hickorypier.core.fold.FoldResult;
import org.hickorypier.core.fold.FoldedId;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.ConfigurationRecord.GiveKey;
import org.hickorypier.wire.record.ConfigurationRecord.PutDrain;
import org.hickorypier.wire.record.ConfigurationRecord.PutTeam;
import org.hickorypier.wire.record.ConfigurationRecord.Snapshot;
import org.hickorypier.wire.record.ConfigurationRecord.WithdrawKey;

/**
 * Folds the records of the configuration stream into a {@link Configuration}.
 *
 * <p>Thread-safe: it is a pure function, so the same records at the same offsets give the same
 * state and the same verdicts on every instance. It never throws because of the contents of a
 * record.
 *
 * <p>The expected load is 3,000 changes a day. Concurrent changes by operators, repeated appends
 * and records that peers forward out of order must neither undo a later change nor make instances
 * diverge. Offsets are folded in strict sequence, so a record from a peer is applied only after all
 * records before it.
 */
public final class ConfigurationFold {

  private ConfigurationFold() {}

  /**
   * Folds one record.
   *
   * @param state the state before the record
   * @param offset the record's offset
   * @param change the record
   * @return the state after the record; after an adopted snapshot its offset is the last offset
   *     that the snapshot covers, and folding continues at the next offset
   */
  public static FoldResult<Configuration> apply(
      Configuration state, long offset, ConfigurationRecord change) {
    if (offset <= state.offset()) {
      return new FoldResult<>(state, Verdict.DUPLICATE, "offset " + offset + " was already folded");
    }
    if (change instanceof Snapshot snapshot
        && snapshot.upTo() > state.offset()
        && snapshot.upTo() < offset) {
      return adoptSnapshot(state, snapshot);
    }
    if (offset > state.offset() + 1) {
      return new FoldResult<>(
          state, Verdict.GAP, "records from offset " + (state.offset() + 1) + " are missing");
    }
    Configuration next = state.withOffset(offset);
    if (change instanceof Snapshot) {
      return new FoldResult<>(next, Verdict.DUPLICATE, "the snapshot is not newer than the state");
    }
    if (change.id() == null || change.id().isBlank()) {
      return new FoldResult<>(next, Verdict.INVALID, "the change has no id");
    }
    FoldedId earlier = state.ids().find(change.id()).orElse(null);
    if (earlier != null) {
      return new FoldResult<>(
          next, Verdict.DUPLICATE, "the change was already folded at offset " + earlier.offset());
    }
    FoldResult<Configuration> result = applyNew(next, offset, change);
    FoldedId entry = new FoldedId(change.id(), offset, result.verdict());
    return new FoldResult<>(result.state().withFoldedId(entry), result.verdict(), result.reason());
  }

  /**
   * Skips a record that this version cannot decode. Only the offset of the state changes.
   *
   * @param state the state before the record
   * @param offset the record's offset
   * @return the state after the record
   */
  public static FoldResult<Configuration> skipUnreadable(Configuration state, long offset) {
    if (offset != state.offset() + 1) {
      Verdict verdict = offset <= state.offset() ? Verdict.DUPLICATE : Verdict.GAP;
      return new FoldResult<>(state, verdict, "offset " + offset + " is not the next offset");
    }
    return new FoldResult<>(
        state.withOffset(offset), Verdict.INVALID, "this version cannot decode the record");
  }

  /**
   * Adopts a snapshot from the log or from a peer if it is newer than the state.
   *
   * <p>A restarted or lagging peer may offer an old state, which would restore a withdrawn key if
   * it were adopted. Offsets order the states: a state contains every change of a state with a
   * lower offset.
   *
   * @param state the current state
   * @param snapshot the snapshot
   * @return the state of the snapshot, or the current state if it is at least as new
   */
  public static FoldResult<Configuration> adoptSnapshot(Configuration state, Snapshot snapshot) {
    if (snapshot.upTo() <= state.offset()) {
      return new FoldResult<>(
          state, Verdict.DUPLICATE, "the state is at least as new as the snapshot");
    }
    if (!ConfigurationSnapshots.isComplete(snapshot)) {
      return new FoldResult<>(state, Verdict.INVALID, "the snapshot is incomplete or malformed");
    }
    return new FoldResult<>(
        ConfigurationSnapshots.fromSnapshot(snapshot),
        Verdict.APPLIED,
        "the state is that of the snapshot up to offset " + snapshot.upTo());
  }

  private static FoldResult<Configuration> applyNew(
      Configuration state, long offset, ConfigurationRecord change) {
    if (change instanceof PutTeam put) {
      return putTeam(state, put);
    }
    if (change instanceof GiveKey give) {
      return giveKey(state, give);
    }
    if (change instanceof WithdrawKey withdraw) {
      return withdrawKey(state, withdraw);
    }
    return putDrain(state, offset, (PutDrain) change);
  }

  private static FoldResult<Configuration> putTeam(Configuration state, PutTeam put) {
    if (isBlank(put.team())
        || !Double.isFinite(put.share())
        || put.share() < 0
        || put.upperLimit() < 0) {
      return invalid(state, "a team needs a name, and a share and limit that are not negative");
    }
    Team team = state.teams().get(put.team());
    long revision = team == null ? 0 : team.revision();
    if (isStale(put, revision)) {
      return stale(state, "team " + put.team(), put, revision);
    }
    Team next = new Team(put.team(), revision + 1, put.share(), put.upperLimit());
    return applied(state.with(next), "team " + put.team(), next.revision());
  }

  private static FoldResult<Configuration> giveKey(Configuration state, GiveKey give) {
    if (isBlank(give.keyId())
        || give.team() == null
        || isEmpty(give.salt())
        || isEmpty(give.hash())) {
      return invalid(state, "a key needs an id, a team (empty for operators), a salt and a hash");
    }
    Key key = state.keys().get(give.keyId());
    if (key != null && key.withdrawn()) {
      return conflict(state, "key " + give.keyId() + " was withdrawn and cannot be given again");
    }
    long revision = key == null ? 0 : key.revision();
    if (isStale(give, revision)) {
      return stale(state, "key " + give.keyId(), give, revision);
    }
    if (!give.team().isEmpty() && !state.teams().containsKey(give.team())) {
      return conflict(state, "there is no team " + give.team());
    }
    Key next = new Key(give.keyId(), revision + 1, give.team(), give.salt(), give.hash(), false);
    return applied(state.with(next), "key " + give.keyId(), next.revision());
  }

  private static FoldResult<Configuration> withdrawKey(Configuration state, WithdrawKey withdraw) {
    Key key = isBlank(withdraw.keyId()) ? null : state.keys().get(withdraw.keyId());
    if (key == null) {
      return conflict(state, "there is no key " + withdraw.keyId());
    }
    if (key.withdrawn()) {
      return new FoldResult<>(
          state, Verdict.APPLIED, "key " + withdraw.keyId() + " was already withdrawn");
    }
    if (isStale(withdraw, key.revision())) {
      return stale(state, "key " + withdraw.keyId(), withdraw, key.revision());
    }
    Key next = new Key(key.keyId(), key.revision() + 1, key.team(), new byte[0], new byte[0], true);
    return applied(state.with(next), "key " + withdraw.keyId(), next.revision());
  }

  private static FoldResult<Configuration> putDrain(
      Configuration state, long offset, PutDrain put) {
    if (isBlank(put.name())) {
      return invalid(state, "a drain needs a name");
    }
    Drain drain = state.drains().get(put.name());
    long revision = drain == null ? 0 : drain.revision();
    if (isStale(put, revision)) {
      return stale(state, "drain of " + put.name(), put, revision);
    }
    Drain next = new Drain(put.name(), revision + 1, put.draining(), offset);
    return applied(state.with(next), "drain of " + put.name(), next.revision());
  }

  private static boolean isStale(ConfigurationRecord change, long revision) {
    return change.basis() != ConfigurationRecord.ANY_REVISION && change.basis() != revision;
  }

  private static FoldResult<Configuration> stale(
      Configuration state, String subject, ConfigurationRecord change, long revision) {
    return conflict(state, subject + " is at revision " + revision + ", not at " + change.basis());
  }

  private static FoldResult<Configuration> applied(
      Configuration state, String subject, long revision) {
    return new FoldResult<>(state, Verdict.APPLIED, subject + " is now at revision " + revision);
  }

  private static FoldResult<Configuration> conflict(Configuration state, String sentence) {
    return new FoldResult<>(state, Verdict.CONFLICT, sentence);
  }

  private static FoldResult<Configuration> invalid(Configuration state, String sentence) {
    return new FoldResult<>(state, Verdict.INVALID, sentence);
  }

  private static boolean isBlank(String text) {
    return text == null || text.isBlank();
  }

  private static boolean isEmpty(byte[] bytes) {
    return bytes == null || bytes.length == 0;
  }
}
