package org.hickorypier.daemon.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.junit.jupiter.api.Test;

/** Tests the time of the first try over repeated tries of a request. */
class FirstTryTrackerTest {

  private static final long RETENTION_MILLIS = 60_000;
  private final FirstTryTracker tracker = new FirstTryTracker(RETENTION_MILLIS, 2);

  /** Guards against a retry that counts as the newest request, because its first try is lost. */
  @Test
  void repeatedRequestKeepsTimeOfFirstTry() {
    assertThat(recordTry("r1", 1_000)).isEqualTo(1_000);
    assertThat(recordTry("r1", 40_000)).isEqualTo(1_000);
    assertThat(recordTry("r1", 80_000)).isEqualTo(1_000);
  }

  @Test
  void timeOfFirstTryExpiresAfterRetention() {
    recordTry("r1", 1_000);

    assertThat(recordTry("r1", 1_001 + RETENTION_MILLIS)).isEqualTo(1_001 + RETENTION_MILLIS);
  }

  @Test
  void leastRecentlyTriedRequestIsEvictedFirst() {
    recordTry("r1", 1_000);
    recordTry("r2", 2_000);
    recordTry("r1", 3_000);
    recordTry("r3", 4_000);

    assertThat(recordTry("r1", 5_000)).isEqualTo(1_000);
    assertThat(recordTry("r2", 6_000)).isEqualTo(6_000);
  }

  @Test
  void reportsTimeSinceFirstTry() {
    recordTry("r1", 1_000);

    assertThat(tracker.triedForMillis(new WorkKey("norte", "r1"), 4_000)).isEqualTo(3_000);
    assertThat(tracker.triedForMillis(new WorkKey("norte", "r2"), 4_000)).isZero();
  }

  private long recordTry(String requestId, long now) {
    WorkItem item =
        new WorkItem(
            new WorkKey("norte", requestId),
            WorkClass.REQUEST,
            "",
            new Resources(100, 64, 0),
            1,
            true,
            now,
            now + 1_000,
            100);
    return tracker.recordTry(new Submission(item, new byte[0]), now).item().firstTriedMillis();
  }
}
