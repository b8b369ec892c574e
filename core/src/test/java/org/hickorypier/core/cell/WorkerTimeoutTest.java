package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WorkerTimeoutTest {

  private final WorkerTimeout timeout = new WorkerTimeout(0);

  private void record(int count, long millis) {
    for (int index = 0; index < count; index++) {
      timeout.record(millis);
    }
  }

  /** Guards against orders that are sent three times because all answers are late. */
  @Test
  void answersThatAreAllLateAreWaitedFor() {
    record(100, 3);
    record(60, 300);
    assertThat(timeout.millis()).isEqualTo(WorkerTimeout.MAX_TIMEOUT_MILLIS);
  }

  @Test
  void silentWorkerAmongManyDoesNotDelayItsDetection() {
    for (int round = 0; round < 100; round++) {
      record(40, 3);
      record(1, 300);
    }
    assertThat(timeout.millis()).isEqualTo(WorkerTimeout.MIN_TIMEOUT_MILLIS);
  }

  /** Guards against answers that are given up while they wait behind a burst on a weak machine. */
  @Test
  void burstOnWeakMachineIsWaitedFor() {
    long burst = BurstDelay.millis(0.12, 250_000);
    assertThat(burst).isBetween(400L, 450L);
    assertThat(BurstDelay.millis(1.5, 25_000_000)).isLessThan(20);
    assertThat(new WorkerTimeout(burst).millis())
        .isEqualTo(WorkerTimeout.MIN_TIMEOUT_MILLIS + burst);
  }

  @Test
  void timeoutFallsBackAfterTheOverload() {
    record(100, 900);
    record(150, 3);
    assertThat(timeout.millis()).isEqualTo(WorkerTimeout.MIN_TIMEOUT_MILLIS);
  }
}
