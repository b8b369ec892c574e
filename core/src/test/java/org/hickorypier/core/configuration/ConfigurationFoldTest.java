package org.hickorypier.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorypier.core.fold.FoldResult;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.ConfigurationRecord.GiveKey;
import org.hickorypier.wire.record.ConfigurationRecord.PutDrain;
import org.hickorypier.wire.record.ConfigurationRecord.PutTeam;
import org.hickorypier.wire.record.ConfigurationRecord.Snapshot;
import org.hickorypier.wire.record.ConfigurationRecord.WithdrawKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigurationFoldTest {

  private static final long ANY_REVISION = ConfigurationRecord.ANY_REVISION;

  private static Configuration fold(List<ConfigurationRecord> changes) {
    Configuration state = Configuration.EMPTY;
    for (ConfigurationRecord change : changes) {
      state = ConfigurationFold.apply(state, state.offset() + 1, change).state();
    }
    return state;
  }

  private static PutTeam team(String id, long basis, int limit) {
    return new PutTeam(id, basis, "labels", 1, limit);
  }

  private static GiveKey key(String id, long basis, String team) {
    return new GiveKey(id, basis, "k1", team, new byte[] {1}, new byte[] {2});
  }

  private static WithdrawKey withdraw(String id, long basis) {
    return new WithdrawKey(id, basis, "k1");
  }

  static Stream<Arguments> verdicts() {
    PutTeam created = team("t1", 0, 4);
    return Stream.of(
        Arguments.of("new team", List.of(), created, Verdict.APPLIED),
        Arguments.of("concurrent creation", List.of(created), team("t2", 0, 9), Verdict.CONFLICT),
        Arguments.of(
            "second of two concurrent changes",
            List.of(created, team("t2", 1, 5)),
            team("t3", 1, 6),
            Verdict.CONFLICT),
        Arguments.of(
            "any revision", List.of(created), team("t2", ANY_REVISION, 6), Verdict.APPLIED),
        Arguments.of(
            "repeated id",
            List.of(created, team("t2", ANY_REVISION, 6)),
            created,
            Verdict.DUPLICATE),
        Arguments.of(
            "repeated conflict",
            List.of(team("early", 1, 7), created),
            team("early", 1, 7),
            Verdict.DUPLICATE),
        Arguments.of(
            "not a number", List.of(), new PutTeam("t", 0, "x", Double.NaN, 1), Verdict.INVALID),
        Arguments.of("no id", List.of(), team(null, 0, 1), Verdict.INVALID),
        Arguments.of("key of unknown team", List.of(), key("c", 0, "labels"), Verdict.CONFLICT),
        Arguments.of("operator's key", List.of(), key("c", 0, ""), Verdict.APPLIED),
        Arguments.of(
            "key without hash",
            List.of(),
            new GiveKey("c", 0, "k", "", null, null),
            Verdict.INVALID),
        Arguments.of("withdrawal", List.of(key("c", 0, "")), withdraw("w", 1), Verdict.APPLIED),
        Arguments.of(
            "stale withdrawal",
            List.of(key("c", 0, ""), key("d", 1, "")),
            withdraw("w", 1),
            Verdict.CONFLICT),
        Arguments.of(
            "withdrawn twice",
            List.of(key("c", 0, ""), withdraw("w", 1)),
            withdraw("v", 1),
            Verdict.APPLIED),
        Arguments.of(
            "key given again after withdrawal",
            List.of(key("c", 0, ""), withdraw("w", 1)),
            key("d", ANY_REVISION, ""),
            Verdict.CONFLICT),
        Arguments.of(
            "withdrawal of unknown key", List.of(), withdraw("w", ANY_REVISION), Verdict.CONFLICT),
        Arguments.of("drain", List.of(), new PutDrain("d", 0, "w", true), Verdict.APPLIED));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("verdicts")
  void lastChangeGetsExpectedVerdict(
      String name, List<ConfigurationRecord> before, ConfigurationRecord last, Verdict verdict) {
    Configuration state = fold(before);

    FoldResult<Configuration> result = ConfigurationFold.apply(state, before.size(), last);

    assertThat(result.verdict()).as(result.reason()).isEqualTo(verdict);
    if (verdict != Verdict.APPLIED) {
      assertThat(result.state().teams()).isEqualTo(state.teams());
      assertThat(result.state().keys()).isEqualTo(state.keys());
    }
  }

  // Guards against a withdrawn key that becomes valid again. A grant reappears in the log after the
  // withdrawal if its append is repeated after a lost answer. An instance may also read the stream
  // again from an earlier offset, and a peer may forward an old record.
  @Test
  void repeatedGrantDoesNotRestoreWithdrawnKey() {
    List<ConfigurationRecord> changes = List.of(key("c", 0, ""), withdraw("w", 1));
    Configuration state = fold(changes);

    for (long offset = 0; offset < 4; offset++) {
      state = ConfigurationFold.apply(state, offset, key("c", 0, "")).state();
    }
    state = ConfigurationFold.apply(state, 4, key("d", ANY_REVISION, "")).state();
    state = ConfigurationFold.apply(state, 5, key("e", 2, "")).state();

    assertThat(state.offset()).isEqualTo(5);
    assertThat(state.keys().get("k1").withdrawn()).isTrue();
  }

  // Guards against lost records. A peer forwards a record before this instance has read the records
  // that precede it. If it were applied, those would be dropped as duplicates later. It is not
  // applied, and the offset does not change.
  @Test
  void recordAfterGapIsNotApplied() {
    FoldResult<Configuration> result =
        ConfigurationFold.apply(Configuration.EMPTY, 3, team("t", 0, 1));

    assertThat(result.verdict()).isEqualTo(Verdict.GAP);
    assertThat(result.state()).isEqualTo(Configuration.EMPTY);
  }

  // Guards against divergence of an instance that starts after the first records have expired. A
  // snapshot and the records after it must give the same state as all records. This includes the
  // retained ids, because otherwise only this instance would apply a repeated change again.
  @Property(tries = 200, seed = "4")
  void snapshotAndTailGiveSameStateAsFullReplay(@ForAll Random random) throws Exception {
    List<ConfigurationRecord> changes = randomChanges(random, 60);
    int snapshotOffset = random.nextInt(changes.size());
    Configuration all = fold(changes);
    MessagePackCodec<ConfigurationRecord> codec = new MessagePackCodec<>(ConfigurationRecord.class);
    ConfigurationRecord snapshot =
        codec.decode(
            codec.encode(
                ConfigurationSnapshots.toSnapshot(
                    "s", fold(changes.subList(0, snapshotOffset + 1)))));

    Configuration restored =
        ConfigurationFold.apply(Configuration.EMPTY, changes.size(), snapshot).state();
    assertThat(restored.offset()).isEqualTo(snapshotOffset);
    for (int offset = snapshotOffset + 1; offset < changes.size(); offset++) {
      restored = ConfigurationFold.apply(restored, offset, changes.get(offset)).state();
    }

    assertThat(restored).isEqualTo(all);
  }

  // Guards against divergence by order of arrival. Records arrive repeatedly, out of order and
  // mixed with old snapshots: from the log, from peers and from a stream that is read again. An
  // instance that applies what it can at each step ends in the same state.
  @Property(tries = 200, seed = "5")
  void anyArrivalOrderGivesSameState(@ForAll Random random) {
    List<ConfigurationRecord> changes = randomChanges(random, 40);
    Configuration state = Configuration.EMPTY;
    while (state.offset() < changes.size() - 1) {
      int offset = random.nextInt(changes.size());
      long before = state.offset();
      if (random.nextInt(5) == 0) {
        Snapshot old = ConfigurationSnapshots.toSnapshot("s", fold(changes.subList(0, offset)));
        state = ConfigurationFold.adoptSnapshot(state, old).state();
      } else {
        state = ConfigurationFold.apply(state, offset, changes.get(offset)).state();
      }
      assertThat(state.offset()).isGreaterThanOrEqualTo(before);
    }

    assertThat(state).isEqualTo(fold(changes));
  }

  @Test
  void invalidSnapshotIsNotAdopted() {
    Snapshot incomplete = new Snapshot("s", 5, null, List.of(), List.of(), List.of());
    Snapshot aheadOfItsOffset = new Snapshot("s", 9, List.of(), List.of(), List.of(), List.of());

    assertThat(ConfigurationFold.apply(Configuration.EMPTY, 6, incomplete).state())
        .isEqualTo(Configuration.EMPTY);
    assertThat(ConfigurationFold.apply(Configuration.EMPTY, 6, aheadOfItsOffset).state())
        .isEqualTo(Configuration.EMPTY);
  }

  @Test
  void oldIdsAndEndedDrainsAreEvicted() {
    List<ConfigurationRecord> changes = new ArrayList<>();
    changes.add(new PutDrain("first", ANY_REVISION, "old", false));
    for (int index = 0; index < Configuration.ID_RETENTION_OFFSETS + 10; index++) {
      changes.add(new PutDrain("c" + index, ANY_REVISION, "worker-" + index % 50, index % 2 == 0));
    }

    Configuration state = fold(changes);

    assertThat(state.findFoldedId("first")).isEmpty();
    assertThat(state.ids().entries()).hasSize((int) Configuration.ID_RETENTION_OFFSETS + 1);
    assertThat(state.drains()).doesNotContainKey("old").hasSize(50);
  }

  private static List<ConfigurationRecord> randomChanges(Random random, int count) {
    List<ConfigurationRecord> changes = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      String id = "c" + random.nextInt(count);
      long basis = random.nextInt(4) - 1L;
      changes.add(
          switch (random.nextInt(4)) {
            case 0 -> team(id, basis, random.nextInt(9));
            case 1 ->
                new GiveKey(
                    id,
                    basis,
                    "k" + random.nextInt(3),
                    random.nextBoolean() ? "labels" : "",
                    new byte[] {1},
                    new byte[] {(byte) index});
            case 2 -> new WithdrawKey(id, basis, "k" + random.nextInt(3));
            default -> new PutDrain(id, basis, "w" + random.nextInt(3), random.nextBoolean());
          });
    }
    return changes;
  }
}
