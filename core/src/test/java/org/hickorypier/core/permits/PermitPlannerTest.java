package org.hickorypier.core.permits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PermitPlannerTest {

  private static final Holder ME = new Holder("me", 1);
  private static final Holder OTHER = new Holder("other", 1);
  private static final Holder GONE = new Holder("gone", 1);

  private static TeamPermits team(int limit, int me, int other, int gone) {
    Map<Holder, HeldPermits> holds = new HashMap<>();
    holds.put(ME, new HeldPermits(me, 1));
    holds.put(OTHER, new HeldPermits(other, 2));
    holds.put(GONE, new HeldPermits(gone, 3));
    return new TeamPermits(1, limit, holds, me + other + gone);
  }

  // limit, held by me, the other, one that is gone; my running and waiting, the other's; what I ask
  // for (-1 nothing)
  @ParameterizedTest(name = "{0} of limit {1}")
  @CsvSource({
    "demand with reserve, 100, 0, 0, 0, 0, 8, 0, 0, 10",
    "no demand, 100, 0, 0, 0, 0, 0, 0, 0, -1",
    "enough held, 100, 10, 0, 0, 5, 4, 0, 0, -1",
    "only what is free, 20, 4, 10, 0, 4, 6, 10, 0, 10",
    "nothing is free, 20, 4, 16, 0, 4, 9, 2, 0, -1",
    "other lacks my idle ones, 20, 16, 4, 0, 2, 0, 4, 6, 2",
    "idle but nobody lacks them, 100, 16, 4, 0, 2, 0, 4, 0, -1",
    "scarce by demand, 20, 0, 0, 0, 0, 30, 0, 90, 5",
    "scarce with one gone, 30, 0, 0, 20, 0, 50, 0, 50, 5",
    "scarce but small fall, 40, 21, 19, 0, 21, 30, 19, 30, -1",
    "over the limit, 10, 12, 3, 0, 7, 9, 3, 0, 7",
    "over the limit and all running, 10, 12, 3, 0, 12, 9, 3, 0, -1",
  })
  void plansRequest(
      String name,
      int limit,
      int me,
      int other,
      int gone,
      int running,
      int waiting,
      int otherRunning,
      int otherWaiting,
      int asked) {
    PermitView view =
        new PermitView(
            ME,
            team(limit, me, other, gone),
            new PermitDemand(running, waiting, 0),
            Map.of(OTHER, new PermitDemand(otherRunning, otherWaiting, 0)),
            OptionalInt.empty(),
            0);

    assertThat(PermitPlanner.plan(view).request().orElse(-1)).isEqualTo(asked);
  }

  @Test
  void plansNoSecondRequestWhileOneIsPending() {
    PermitView view =
        new PermitView(
            ME, team(100, 0, 0, 0), new PermitDemand(0, 50, 0), Map.of(), OptionalInt.of(10), 0);

    assertThat(PermitPlanner.plan(view).request()).isEmpty();
  }
}
