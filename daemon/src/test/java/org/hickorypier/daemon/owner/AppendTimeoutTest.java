package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AppendTimeoutTest {

  private final AppendTimeout timeout = new AppendTimeout();

  @Test
  void fastStoreHasTheMinimumTimeout() {
    timeout.recordAnswer(4);
    assertThat(timeout.timeoutMillis(1)).isEqualTo(AppendTimeout.MIN_TIMEOUT_MILLIS);
  }

  /**
   * Guards against sending each append twice to a store that takes 360 ms without losing answers.
   */
  @Test
  void slowStoreHasLongerTimeoutUntilItIsFastAgain() {
    timeout.recordAnswer(360);
    assertThat(timeout.timeoutMillis(1)).isEqualTo(1_080);
    for (int answers = 0; answers < 20; answers++) {
      timeout.recordAnswer(4);
    }
    assertThat(timeout.timeoutMillis(1)).isEqualTo(AppendTimeout.MIN_TIMEOUT_MILLIS);
  }

  /**
   * A store that becomes a hundred times slower answers nothing in time, so the next timeout is
   * longer.
   */
  @Test
  void silenceOfTheWholeStoreCountsAsSlowness() {
    timeout.recordTimeout(500, 600);
    assertThat(timeout.timeoutMillis(1)).isEqualTo(AppendTimeout.MAX_TIMEOUT_MILLIS);
  }

  /**
   * One answer of many is lost. The others arrived meanwhile, so the store is as fast as before.
   */
  @Test
  void lostAnswerDoesNotLengthenTheTimeout() {
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
