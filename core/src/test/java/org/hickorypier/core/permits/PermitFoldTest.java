package org.hickorypier.core.permits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.hickorypier.core.fold.FoldResult;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.wire.record.PermitRecord;
import org.hickorypier.wire.record.PermitRecord.Adopt;
import org.hickorypier.wire.record.PermitRecord.AdoptedTasks;
import org.hickorypier.wire.record.PermitRecord.Fence;
import org.hickorypier.wire.record.PermitRecord.Hold;
import org.hickorypier.wire.record.PermitRecord.Limit;
import org.hickorypier.wire.record.PermitRecord.Retire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class PermitFoldTest {

  private static final String TEAM = "labels";
  private static final Holder A = new Holder("a", 1);
  private static final Holder B = new Holder("b", 1);
  private static final Holder C = new Holder("c", 1);

  private static PermitState fold(List<PermitRecord> changes) {
    PermitState state = PermitState.EMPTY;
    for (PermitRecord change : changes) {
      state = PermitFold.apply(state, state.offset() + 1, change).state();
    }
    return state;
  }

  private static Limit limit(long revision, int limit) {
    return new Limit(TEAM, revision, limit);
  }

  private static Hold hold(Holder holder, long sequence, int count) {
    return new Hold(holder.instance(), holder.incarnation(), sequence, TEAM, count);
  }

  private static Adopt adopt(Holder adopter, long sequence, long token, Holder owner, int count) {
    return new Adopt(
        adopter.instance(),
        adopter.incarnation(),
        sequence,
        "worker-1",
        token,
        List.of(new AdoptedTasks(TEAM, owner.instance(), owner.incarnation(), count)));
  }

  private static Fence fence(Holder holder, long sequence) {
    return new Fence(holder.instance(), holder.incarnation(), sequence);
  }

  private static Retire retire(Holder holder) {
    return new Retire(holder.instance(), holder.incarnation());
  }

  static Stream<Arguments> cases() {
    return Stream.of(
        Arguments.of("hold before any limit", List.of(), hold(A, 1, 4), Verdict.CONFLICT, 0, 0),
        Arguments.of(
            "hold of the whole limit",
            List.of(limit(1, 10)),
            hold(A, 1, 10),
            Verdict.APPLIED,
            10,
            0),
        Arguments.of(
            "hold reduced to the free permits",
            List.of(limit(1, 10), hold(B, 1, 7)),
            hold(A, 1, 8),
            Verdict.APPLIED,
            3,
            7),
        Arguments.of(
            "hold without free permits",
            List.of(limit(1, 10), hold(B, 1, 10)),
            hold(A, 1, 1),
            Verdict.APPLIED,
            0,
            10),
        Arguments.of(
            "permits returned",
            List.of(limit(1, 10), hold(A, 1, 9)),
            hold(A, 2, 2),
            Verdict.APPLIED,
            2,
            0),
        Arguments.of(
            "larger hold above a lowered limit",
            List.of(limit(1, 10), hold(A, 1, 6), limit(2, 4)),
            hold(A, 2, 8),
            Verdict.APPLIED,
            6,
            0),
        Arguments.of(
            "limit of an older revision",
            List.of(limit(2, 4), hold(A, 1, 9)),
            limit(1, 10),
            Verdict.DUPLICATE,
            4,
            0),
        Arguments.of(
            "repeated hold",
            List.of(limit(1, 10), hold(A, 1, 9), hold(A, 2, 2)),
            hold(A, 1, 9),
            Verdict.DUPLICATE,
            2,
            0),
        Arguments.of(
            "tasks of a fenced owner adopted",
            List.of(limit(1, 10), hold(A, 1, 2), hold(B, 1, 8), fence(B, 1)),
            adopt(A, 2, 1, B, 5),
            Verdict.APPLIED,
            7,
            3),
        Arguments.of(
            "tasks of a live owner not adopted",
            List.of(limit(1, 10), hold(A, 1, 2), hold(B, 1, 8)),
            adopt(A, 2, 1, B, 5),
            Verdict.APPLIED,
            2,
            8),
        Arguments.of(
            "repeated adoption record",
            List.of(limit(1, 10), hold(B, 1, 8), fence(B, 1), adopt(A, 2, 1, B, 5)),
            adopt(A, 2, 1, B, 5),
            Verdict.DUPLICATE,
            5,
            3),
        Arguments.of(
            "second adoption of the same tasks",
            List.of(limit(1, 10), hold(B, 1, 8), fence(B, 1), adopt(A, 2, 1, B, 5)),
            adopt(A, 3, 1, B, 5),
            Verdict.APPLIED,
            5,
            3),
        Arguments.of(
            "more tasks adopted than permits held",
            List.of(limit(1, 10), hold(B, 1, 2), fence(B, 1)),
            adopt(A, 2, 1, B, 5),
            Verdict.APPLIED,
            2,
            0),
        Arguments.of(
            "tasks adopted from a failed adopter",
            List.of(limit(1, 10), hold(C, 1, 4), fence(C, 1), adopt(B, 1, 1, C, 4), fence(B, 1)),
            adopt(A, 1, 2, C, 3),
            Verdict.APPLIED,
            3,
            1),
        Arguments.of(
            "adoption by a former controller",
            List.of(limit(1, 10), hold(B, 1, 4), fence(B, 1), adopt(C, 1, 2, C, 0)),
            adopt(A, 1, 1, B, 3),
            Verdict.CONFLICT,
            0,
            4),
        Arguments.of(
            "adoption by a fenced holder",
            List.of(limit(1, 10), hold(B, 1, 4), fence(B, 1), fence(A, 0)),
            adopt(A, 1, 1, B, 3),
            Verdict.CONFLICT,
            0,
            4),
        Arguments.of(
            "fenced holder retired",
            List.of(limit(1, 10), hold(A, 1, 2), fence(A, 1)),
            retire(A),
            Verdict.APPLIED,
            0,
            0),
        Arguments.of(
            "retirement without a fence",
            List.of(limit(1, 10), hold(A, 1, 2)),
            retire(A),
            Verdict.CONFLICT,
            2,
            0),
        Arguments.of(
            "fence rejected after a newer record",
            List.of(limit(1, 10), hold(A, 1, 2), hold(A, 2, 3), fence(A, 1)),
            retire(A),
            Verdict.CONFLICT,
            3,
            0),
        Arguments.of(
            "larger hold after the fence",
            List.of(limit(1, 10), fence(A, 0)),
            hold(A, 1, 2),
            Verdict.CONFLICT,
            0,
            0),
        Arguments.of(
            "smaller hold after the fence",
            List.of(limit(1, 10), hold(A, 1, 5), fence(A, 1)),
            hold(A, 2, 2),
            Verdict.APPLIED,
            2,
            0),
        Arguments.of(
            "incarnation after the fenced one",
            List.of(limit(1, 10), fence(new Holder("a", 0), 0)),
            hold(A, 1, 2),
            Verdict.APPLIED,
            2,
            0),
        Arguments.of(
            "negative count", List.of(limit(1, 10)), hold(A, 1, -2), Verdict.INVALID, 0, 0));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void foldsLastRecord(
      String name, List<PermitRecord> before, PermitRecord last, Verdict verdict, int a, int b) {
    FoldResult<PermitState> result = PermitFold.apply(fold(before), before.size(), last);

    TeamPermits team = result.state().team(TEAM);
    assertThat(result.verdict()).as(result.reason()).isEqualTo(verdict);
    assertThat(team.heldBy(A)).isEqualTo(a);
    assertThat(team.heldBy(B)).isEqualTo(b);
    assertThat(team.sum()).isEqualTo(a + b + team.heldBy(C));
  }

  // A peer forwards records that are ahead of the state, or records have expired from the log.
  // Folding across the gap could grant permits that a missing record has granted to another holder.
  @Test
  void recordAfterGapGrantsNothing() {
    FoldResult<PermitState> result =
        PermitFold.apply(fold(List.of(limit(1, 10))), 2, hold(A, 1, 5));

    assertThat(result.verdict()).isEqualTo(Verdict.GAP);
    assertThat(result.state().team(TEAM).sum()).isZero();
  }
}
