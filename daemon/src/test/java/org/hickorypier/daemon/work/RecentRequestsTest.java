package org.hickorypier.daemon.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickorypier.core.model.WorkKey;
import org.junit.jupiter.api.Test;

/** Tests the tracking of requests that were answered or refused. */
class RecentRequestsTest {

  private static final long RETENTION_MILLIS = 60_000;
  private final RecentRequests recent = new RecentRequests(RETENTION_MILLIS, 2);

  @Test
  void laterRefusalDoesNotClearPossibleRun() {
    recent.recordEnd(key("r1"), true, 0);
    recent.recordEnd(key("r1"), false, 1_000);

    assertThat(recent.mayHaveRun(key("r1"), 2_000)).isTrue();
    assertThat(recent.mayHaveRun(key("r2"), 2_000)).isFalse();
  }

  @Test
  void requestExpiresAfterRetention() {
    recent.recordEnd(key("r1"), true, 0);

    assertThat(recent.mayHaveRun(key("r1"), RETENTION_MILLIS)).isFalse();
  }

  /** Guards against "not run" for a request that ran and whose entry was evicted by the limit. */
  @Test
  void unknownRequestsMayHaveRunUntilEvictedEntryWouldExpire() {
    recent.recordEnd(key("r1"), true, 0);
    recent.recordEnd(key("r2"), false, 0);
    recent.recordEnd(key("r3"), false, 0);

    assertThat(recent.mayHaveRun(key("r1"), RETENTION_MILLIS - 1)).isTrue();
    assertThat(recent.mayHaveRun(key("r3"), RETENTION_MILLIS - 1)).isFalse();
    assertThat(recent.mayHaveRun(key("r1"), RETENTION_MILLIS)).isFalse();
  }

  private static WorkKey key(String requestId) {
    return new WorkKey("norte", requestId);
  }
}
