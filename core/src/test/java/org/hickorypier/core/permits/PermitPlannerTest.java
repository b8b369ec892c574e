package org.hickorypier.core.permits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PermitPlannerTest {

  private static final Holder SELF = new Holder("me", 1);
  private static final Holder OTHER = new Holder("other", 1);
  private static final Holder FAILED = new Holder("gone", 1);

  private static TeamPermits team(int limit, int self, int other, int failed) {
    Map<Holder, HeldPermits> holds = new HashMap<>();
    holds.put(SELF, new HeldPermits(self, 1));
    holds.put(OTHER, new HeldPermits(other, 2));
    holds.put(FAILED, new HeldPermits(failed, 3));
    return new TeamPermits(1, limit, holds, self + other + failed);
  }

  // The columns are the limit; the permits held by this, the other and the failed instance; the
  // running and waiting tasks of this and of the other instance; and the request (-1 for none).
  @ParameterizedTest(name = "{0} of limit {1}")
  @CsvSource({
    "demand plus reserve, 100, 0, 0, 0, 0, 8, 0, 0, 10",
    "no demand, 100, 0, 0, 0, 0, 0, 0, 0, -1",
    "sufficient hold, 100, 10, 0, 0, 5, 4, 0, 0, -1",
    "only free permits, 20, 4, 10, 0, 4, 6, 10, 0, 10",
    "no free permits, 20, 4, 16, 0, 4, 9, 2, 0, -1",
    "other instance lacks idle permits, 20, 16, 4, 0, 2, 0, 4, 6, 2",
    "idle permits that no instance lacks, 100, 16, 4, 0, 2, 0, 4, 0, -1",
    "scarce permits split by demand, 20, 0, 0, 0, 0, 30, 0, 90, 5",
    "scarce permits with a failed instance, 30, 0, 0, 20, 0, 50, 0, 50, 5",
    "scarce permits with a small decrease, 40, 21, 19, 0, 21, 30, 19, 30, -1",
    "hold above the limit, 10, 12, 3, 0, 7, 9, 3, 0, 7",
    "hold above the limit with all permits in use, 10, 12, 3, 0, 12, 9, 3, 0, -1",
  })
  void plansRequest(
      String name,
      int limit,
      int self,
      int other,
      int failed,
      int running,
      int waiting,
      int otherRunning,
      int otherWaiting,
      int expectedRequest) {
    PermitView view =
        new PermitView(
            SELF,
            team(limit, self, other, failed),
            new PermitDemand(running, waiting, 0),
            Map.of(OTHER, new PermitDemand(otherRunning, otherWaiting, 0)),
            OptionalInt.empty(),
            0);

    assertThat(PermitPlanner.plan(view).request().orElse(-1)).isEqualTo(expectedRequest);
  }

  @Test
  void plansNoSecondRequestWhileOneIsPending() {
    PermitView view =
        new PermitView(
            SELF, team(100, 0, 0, 0), new PermitDemand(0, 50, 0), Map.of(), OptionalInt.of(10), 0);

    assertThat(PermitPlanner.plan(view).request()).isEmpty();
  }
}
