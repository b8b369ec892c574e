package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AppendTimeoutTest {

  private final AppendTimeout timeout = new AppendTimeout();

  @Test
  void quickStoreIsNotWaitedForLong() {
    timeout.answered(4);
    assertThat(timeout.millis(1)).isEqualTo(AppendTimeout.LEAST_MILLIS);
  }

  /** A store that takes 360 ms without being lost is not sent everything twice. */
  @Test
  void slowStoreIsWaitedForLonger() {
    timeout.answered(360);
    assertThat(timeout.millis(1)).isEqualTo(1_080);
    for (int answers = 0; answers < 20; answers++) {
      timeout.answered(4);
    }
    assertThat(timeout.millis(1)).isEqualTo(AppendTimeout.LEAST_MILLIS);
  }

  /**
   * A store that turned a hundred times slower answers nothing in time; the next wait is longer.
   */
  @Test
  void silenceOfTheWholeStoreIsTakenForSlowness() {
    timeout.unanswered(500, 600);
    assertThat(timeout.millis(1)).isEqualTo(AppendTimeout.MOST_MILLIS);
  }

  /** One answer of many is lost; the others came meanwhile, so the store is as quick as before. */
  @Test
  void lostAnswerDoesNotMakeTheNextWaitLonger() {
    timeout.unanswered(500, 20);
    assertThat(timeout.millis(1)).isEqualTo(AppendTimeout.LEAST_MILLIS);
  }

  @Test
  void eachFurtherAttemptWaitsTwiceAsLong() {
    assertThat(timeout.millis(2)).isEqualTo(2 * AppendTimeout.LEAST_MILLIS);
    assertThat(timeout.millis(3)).isEqualTo(AppendTimeout.MOST_MILLIS);
    assertThat(timeout.millis(9)).isEqualTo(AppendTimeout.MOST_MILLIS);
  }
}
