package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class DepartureDetectorTest {

  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long NO_PAUSE = Long.MIN_VALUE;

  private final DepartureDetector detector = new DepartureDetector(HEARTBEAT_MILLIS);

  private static WorkerEntry entry(boolean draining) {
    return new WorkerEntry(
        "w", "service", "10.0.0.1:1", draining, 0, CellFixture.CAPACITY, List.of("a", "r1"), 1);
  }

  @Test
  void drainingWorkerRemovedWithinHeartbeatsHasLeft() {
    detector.recordWrite(entry(true), 1_000);
    detector.recordWrite(entry(true), 2_500);
    assertThat(detector.recordRemoval("w", NO_PAUSE, 4_300)).isTrue();
  }

  @Test
  void drainingWorkerRemovedAfterMissedHeartbeatsMayStillRun() {
    detector.recordWrite(entry(true), 1_000);
    assertThat(detector.recordRemoval("w", NO_PAUSE, 1_000 + 3 * HEARTBEAT_MILLIS)).isFalse();
  }

  @Test
  void workerThatIsNotDrainingMayStillRun() {
    detector.recordWrite(entry(true), 1_000);
    detector.recordWrite(entry(false), 2_000);
    assertThat(detector.recordRemoval("w", NO_PAUSE, 2_500)).isFalse();
  }

  /** The worker may have been silent for any length of time while this process was suspended. */
  @Test
  void removalAfterProcessPauseIsNoDeparture() {
    detector.recordWrite(entry(true), 1_000);
    assertThat(detector.recordRemoval("w", 1_200, 1_500)).isFalse();
  }

  @Test
  void removalOfEntryWithUnknownAgeIsNoDeparture() {
    detector.recordWrite(entry(true), 1_000);
    detector.clear();
    assertThat(detector.recordRemoval("w", NO_PAUSE, 1_500)).isFalse();
  }
}
