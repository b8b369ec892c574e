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
   * Guards against refusals of a burst while permits are pending and workers are idle. Forty
   * callers submit at once to an instance that holds two permits of their team and has requested
   * more. Two tasks start, and the estimate by their rate is a wait of a minute for the others. The
   * permits arrive with the next append to the log, so no caller may be refused; without the
   * patience most are.
   */
  @ParameterizedTest
  @CsvSource({"0, false", "1200, true"})
  void burstIsAcceptedWhilePermitsArePending(long patienceMillis, boolean allAccepted) {
    Scheduler scheduler =
        SchedulerFactory.create(SchedulerSettings.defaults().withShiftPatience(patienceMillis), 1);
    for (int number = 0; number < 6; number++) {
      scheduler.putWorker(SchedulerFixtures.worker(number), true);
    }
    scheduler.putPermits("north", 2);

    long refused = submitBurst(scheduler, 0);

    assertThat(refused == 0).isEqualTo(allAccepted);
  }

  /**
   * Guards against unlimited patience. After the same burst, the head of the queue has waited long,
   * so an item that cannot start in time is refused.
   */
  @Test
  void lateItemIsRefusedOnceQueueHeadHasWaited() {
    Scheduler scheduler =
        SchedulerFactory.create(SchedulerSettings.defaults().withShiftPatience(1_200), 1);
    scheduler.putWorker(SchedulerFixtures.worker(0), true);
    scheduler.putPermits("north", 2);
    submitBurst(scheduler, 0);

    assertThat(
            scheduler.submit(
                SchedulerFixtures.request("north", "late", 2_000, 2_000 + DEADLINE_MILLIS), 2_000))
        .hasValueSatisfying(
            refusal -> assertThat(refusal.reason()).isEqualTo(RefusalReason.DEADLINE_TOO_NEAR));
  }

  /**
   * Guards against a wait estimate of an hour. A busy team returns after a quiet minute and has no
   * permits yet; the remainder of its old rate of starts is near zero and must not count as the
   * present rate.
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
              .submit(
                  SchedulerFixtures.request("north", "burst-" + number, now, now + DEADLINE_MILLIS),
                  now)
              .stream()
              .count();
      scheduler.place(now);
    }
    return refused;
  }
}
