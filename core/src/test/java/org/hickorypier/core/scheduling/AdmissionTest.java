package org.hickorypier.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickorypier.core.model.RefusalReason;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AdmissionTest {

  private static final int BURST_REQUESTS = 40;
  private static final long DEADLINE_MILLIS = 10_000;

  /**
   * Forty callers come at once to an instance that holds two permits of their team and has asked
   * for more. Two tasks start, and the estimate by those two says that the others wait for a
   * minute. Permits come within the next append of the log, so nobody is to be sent away; without
   * the patience most are, beside idle workers.
   */
  @ParameterizedTest
  @CsvSource({"0, false", "1200, true"})
  void burstIsAcceptedWhilePermitsArePending(long patienceMillis, boolean allTaken) {
    Scheduler scheduler =
        SchedulerFactory.create(SchedulerSettings.defaults().withShiftPatience(patienceMillis), 1);
    for (int number = 0; number < 6; number++) {
      scheduler.putWorker(Work.worker(number), true);
    }
    scheduler.putPermits("north", 2);

    long refused = submitBurst(scheduler, 0);

    assertThat(refused == 0).isEqualTo(allTaken);
  }

  /** The same burst when the first of the queue has waited long: who cannot start is told so. */
  @Test
  void lateItemIsRefusedOnceQueueHeadHasWaited() {
    Scheduler scheduler =
        SchedulerFactory.create(SchedulerSettings.defaults().withShiftPatience(1_200), 1);
    scheduler.putWorker(Work.worker(0), true);
    scheduler.putPermits("north", 2);
    submitBurst(scheduler, 0);

    assertThat(
            scheduler.submit(Work.request("north", "late", 2_000, 2_000 + DEADLINE_MILLIS), 2_000))
        .hasValueSatisfying(
            refusal -> assertThat(refusal.reason()).isEqualTo(RefusalReason.DEADLINE_TOO_NEAR));
  }

  /**
   * A team that was busy comes back after a quiet minute and finds no permits yet. What is left of
   * its old rate of starts is near zero; taken for the present rate it meant a wait of an hour.
   */
  @Test
  void rateIsZeroAfterQuietMinute() {
    DecayedRate rate = new DecayedRate(5_000);
    for (int event = 0; event < 50; event++) {
      rate.count(event * 100);
    }

    assertThat(rate.perSecond(5_000)).isGreaterThan(1);
    assertThat(rate.perSecond(65_000)).isZero();
  }

  private static long submitBurst(Scheduler scheduler, long now) {
    long refused = 0;
    for (int number = 0; number < BURST_REQUESTS; number++) {
      refused +=
          scheduler
              .submit(Work.request("north", "burst-" + number, now, now + DEADLINE_MILLIS), now)
              .stream()
              .count();
      scheduler.place(now);
    }
    return refused;
  }
}
