package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AppendTimeoutTest {

  private final AppendTimeout timeout = new AppendTimeout();

  @Test
  void quickStoreIsNotWaitedForLong() {
    timeout.recordAnswer(4);
    assertThat(timeout.timeoutMillis(1)).isEqualTo(AppendTimeout.MIN_TIMEOUT_MILLIS);
  }

  /** A store that takes 360 ms without being lost is not sent everything twice. */
  @Test
  void slowStoreIsWaitedForLonger() {
    timeout.recordAnswer(360);
    assertThat(timeout.timeoutMillis(1)).isEqualTo(1_080);
    for (int answers = 0; answers < 20; answers++) {
      timeout.recordAnswer(4);
    }
    assertThat(timeout.timeoutMillis(1)).isEqualTo(AppendTimeout.MIN_TIMEOUT_MILLIS);
  }

  /**
   * A store that turned a hundred times slower answers nothing in time; the next wait is longer.
   */
  @Test
  void silenceOfTheWholeStoreIsTakenForSlowness() {
    timeout.recordTimeout(500, 600);
    assertThat(timeout.timeoutMillis(1)).isEqualTo(AppendTimeout.MAX_TIMEOUT_MILLIS);
  }

  /** One answer of many is lost; the others came meanwhile, so the store is as quick as before. */
  @Test
  void lostAnswerDoesNotMakeTheNextWaitLonger() {
    timeout.recordTimeout(500, 20);
    assertThat(timeout.timeoutMillis(1)).isEqualTo(AppendTimeout.MIN_TIMEOUT_MILLIS);
  }

  @Test
  void eachFurtherAttemptWaitsTwiceAsLong() {
    assertThat(timeout.timeoutMillis(2)).isEqualTo(2 * AppendTimeout.MIN_TIMEOUT_MILLIS);
    assertThat(timeout.timeoutMillis(3)).isEqualTo(AppendTimeout.MAX_TIMEOUT_MILLIS);
    assertThat(timeout.timeoutMillis(9)).isEqualTo(AppendTimeout.MAX_TIMEOUT_MILLIS);
  }
}
