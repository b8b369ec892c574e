package org.hickorypier.standins.worker;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.hickorypier.platform.worker.StartOrder;
import org.hickorypier.platform.worker.WorkerException;
import org.hickorypier.standins.fault.ManualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A worker's own record shows the failure that each of its safeguards prevents. */
class WorkerSafeguardTest {

  private final ManualTime time = new ManualTime();
  private final InMemoryWorker worker =
      new InMemoryWorker(new WorkerProfile("w1", "dc1", "r1", 1_000, 100, 0, 1), time);

  /**
   * A second order asks for what the safeguard forbids. Those safeguards that would also refuse it
   * are off from the start, so that only the one in question stands in its way.
   */
  @ParameterizedTest
  @CsvSource({
    "CONTROL_TOKEN, 0, t~r~1~0, 'order of a former controller', TASK_ID ROOM",
    "TASK_ID,       1, t~r~1~0, 'order sent twice',             ROOM",
    "ROOM,          1, t~s~1~0, 'order beyond the size',        ''",
  })
  void recordShowsWhatTheSafeguardPrevents(
      WorkerSafeguard safeguard, long token, String taskId, String why, String others)
      throws WorkerException {
    Set<WorkerSafeguard> disabled = EnumSet.noneOf(WorkerSafeguard.class);
    for (String other : others.split(" ")) {
      if (!other.isEmpty()) {
        disabled.add(WorkerSafeguard.valueOf(other));
      }
    }
    worker.conditions(new WorkerConditions(false, false, disabled));
    worker.claim("a#1", 0);
    worker.start(order("t~r~1~0", 1));
    catchThrowable(() -> worker.start(order(taskId, token)));
    assertThat(worker.history().starts()).as(why).hasSize(1);
    assertThat(worker.history().overCapacity()).isFalse();

    disabled.add(safeguard);
    worker.conditions(new WorkerConditions(false, false, disabled));
    worker.start(order(taskId, token));

    assertThat(worker.history().starts()).as(why).hasSize(2);
    assertThat(worker.history().overCapacity()).isTrue();
  }

  @Test
  void fleetRecordFindsWorkInTwoPlacesAndOneAfterTheOther() throws WorkerException {
    InMemoryWorker other =
        new InMemoryWorker(new WorkerProfile("w2", "dc1", "r1", 1_000, 100, 0, 1), time);
    worker.claim("a#1", 0);
    other.claim("b#1", 0);
    worker.start(order("t~both~1~0", 1));
    other.start(order("t~both~2~0", 1));
    other.stop("t~both~2~0", 1);
    worker.stop("t~both~1~0", 1);
    FleetHistory sameInstant = new FleetHistory(List.of(worker.history(), other.history()));
    assertThat(sameInstant.overlapping()).isEmpty();
    assertThat(sameInstant.startedMoreThanOnce()).containsExactly("t~both~0");

    worker.start(order("t~twice~1~0", 1));
    time.advance(5);
    other.start(order("t~twice~2~0", 1));
    time.advance(5);

    FleetHistory fleet = new FleetHistory(List.of(worker.history(), other.history()));
    assertThat(fleet.overlapping()).containsExactly("t~twice~0");
    assertThat(fleet.peakTasks("t")).isEqualTo(2);
    assertThat(fleet.peakTasks("other")).isZero();
  }

  private static StartOrder order(String taskId, long token) {
    byte[] payload = "{\"service\":true}".getBytes(StandardCharsets.UTF_8);
    return new StartOrder(taskId, token, "a#1", "labels", 1_000, 10, 0, 60_000, payload);
  }
}
