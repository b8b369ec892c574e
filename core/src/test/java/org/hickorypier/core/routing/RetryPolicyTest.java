package org.hickorypier.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTest {

  private static final long DEADLINE_MILLIS = 10_000;

  private final RetryBudget budget = new RetryBudget(0.1, 3);
  private final RetryPolicy policy = new RetryPolicy(budget);

  @ParameterizedTest
  @CsvSource({
    // idempotent, may have run, now (ms), retried
    "true, false, 0, true",
    "true, true, 0, true",
    "false, false, 0, true",
    "false, true, 0, false", // it might run twice
    "true, false, 9900, false", // the delay alone exceeds the deadline
    "true, false, 20000, false",
  })
  void retriesOnlySafeAttemptsBeforeDeadline(
      boolean idempotent, boolean mayHaveRun, long now, boolean retried) {
    BackOff backOff = new BackOff(400, 800, new SplittableRandom(1));

    assertThat(
            policy
                .nextAttemptDelayMillis(item("labels", idempotent), mayHaveRun, backOff, now)
                .isPresent())
        .isEqualTo(retried);
  }

  // Guards against a retry storm when every worker fails all tasks. The retries stay a tenth of the
  // first attempts, and the first failure of another team is still retried.
  @Test
  void failingTeamConsumesOnlyItsOwnRetries() {
    int retries = 0;
    for (int attempt = 0; attempt < 1_000; attempt++) {
      budget.recordFirstAttempt("labels");
      BackOff backOff = new BackOff(2, 4, new SplittableRandom(attempt));
      retries +=
          policy.nextAttemptDelayMillis(item("labels", true), true, backOff, 0).isPresent() ? 1 : 0;
    }

    assertThat(retries).isBetween(100, 103);
    assertThat(budget.tryTakeRetry("bulletins")).isTrue();
  }

  @Test
  void budgetIsCappedAtBurstSize() {
    IntStream.range(0, 3).forEach(ignored -> budget.tryTakeRetry("labels"));
    IntStream.range(0, 1_000).forEach(ignored -> budget.recordFirstAttempt("labels"));

    assertThat(IntStream.range(0, 10).filter(ignored -> budget.tryTakeRetry("labels")).count())
        .isEqualTo(3);
  }

  private static WorkItem item(String team, boolean idempotent) {
    return new WorkItem(
        new WorkKey(team, "r1"),
        WorkClass.REQUEST,
        "check",
        new Resources(100, 64, 0),
        1,
        idempotent,
        0,
        DEADLINE_MILLIS,
        50);
  }
}
