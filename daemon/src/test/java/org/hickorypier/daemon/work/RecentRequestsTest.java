package org.hickorypier.daemon.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickorypier.core.model.WorkKey;
import org.junit.jupiter.api.Test;

/** What is remembered of requests that were answered or refused. */
class RecentRequestsTest {

  private static final long KEEP_MILLIS = 60_000;
  private final RecentRequests recent = new RecentRequests(KEEP_MILLIS, 2);

  @Test
  void requestThatMayHaveRunOnceStaysSo() {
    recent.put(key("r1"), true, 0);
    recent.put(key("r1"), false, 1_000);

    assertThat(recent.mayHaveRun(key("r1"), 2_000)).isTrue();
    assertThat(recent.mayHaveRun(key("r2"), 2_000)).isFalse();
  }

  @Test
  void requestIsForgottenInTime() {
    recent.put(key("r1"), true, 0);

    assertThat(recent.mayHaveRun(key("r1"), KEEP_MILLIS)).isFalse();
  }

  /** Guards against "not run" for what had to be forgotten before its time. */
  @Test
  void everythingIsUncertainWhileSomethingWasForgottenBeforeItsTime() {
    recent.put(key("r1"), true, 0);
    recent.put(key("r2"), false, 0);
    recent.put(key("r3"), false, 0);

    assertThat(recent.mayHaveRun(key("r1"), KEEP_MILLIS - 1)).isTrue();
    assertThat(recent.mayHaveRun(key("r3"), KEEP_MILLIS - 1)).isFalse();
    assertThat(recent.mayHaveRun(key("r1"), KEEP_MILLIS)).isFalse();
  }

  private static WorkKey key(String requestId) {
    return new WorkKey("norte", requestId);
  }
}
