package org.hickorypier.standins.executor;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import org.hickorypier.standins.fault.ManualTime;
import org.junit.jupiter.api.Test;

class InMemoryExecutorTest {

  private static final long LONGEST_LEASE_MILLIS = 10_000;

  private final ManualTime time = new ManualTime();

  /** Guards against runs that outlive their lease until the next call, if the clock is slow. */
  @Test
  void leaseExpiresBySlowClockWithoutCall() {
    InMemoryExecutor worker = worker(98);
    worker.start(start(1_000_000));
    time.advance(LONGEST_LEASE_MILLIS);
    assertThat(worker.runningTasks()).hasSize(1);
    time.advance(LONGEST_LEASE_MILLIS * 2 / 98 + 10);
    assertThat(worker.runningTasks()).isEmpty();
  }

  @Test
  void renewalMovesTheEndOfTheLease() {
    InMemoryExecutor worker = worker(100);
    worker.start(start(3_000));
    time.advance(2_000);
    worker.hold(new JsonObject().put("DeadlineMs", 5_000L));
    time.advance(2_900);
    assertThat(worker.runningTasks()).hasSize(1);
    time.advance(200);
    assertThat(worker.runningTasks()).isEmpty();
  }

  private InMemoryExecutor worker(long clockPercent) {
    return new InMemoryExecutor(
        "w1",
        1,
        Workload.steady(60_000),
        RunObserver.NONE,
        () -> time.getAsLong() * clockPercent / 100,
        time);
  }

  private static JsonObject start(long deadline) {
    return new JsonObject().put("Task", "a.0.0.0").put("Run", 1).put("DeadlineMs", deadline);
  }
}
