package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AnswerPatienceTest {

  private final AnswerPatience patience = new AnswerPatience();

  @Test
  void quickStoreIsNotWaitedForLong() {
    patience.answered(4);
    assertThat(patience.millis(1)).isEqualTo(AnswerPatience.LEAST_MILLIS);
  }

  /** A store that takes 360 ms without being lost is not sent everything twice. */
  @Test
  void slowStoreIsWaitedForLonger() {
    patience.answered(360);
    assertThat(patience.millis(1)).isEqualTo(1_080);
    for (int answers = 0; answers < 20; answers++) {
      patience.answered(4);
    }
    assertThat(patience.millis(1)).isEqualTo(AnswerPatience.LEAST_MILLIS);
  }

  /**
   * A store that turned a hundred times slower answers nothing in time; the next wait is longer.
   */
  @Test
  void silenceOfTheWholeStoreIsTakenForSlowness() {
    patience.unanswered(500, 600);
    assertThat(patience.millis(1)).isEqualTo(AnswerPatience.MOST_MILLIS);
  }

  /** One answer of many is lost; the others came meanwhile, so the store is as quick as before. */
  @Test
  void lostAnswerDoesNotMakeTheNextWaitLonger() {
    patience.unanswered(500, 20);
    assertThat(patience.millis(1)).isEqualTo(AnswerPatience.LEAST_MILLIS);
  }

  @Test
  void eachFurtherAttemptWaitsTwiceAsLong() {
    assertThat(patience.millis(2)).isEqualTo(2 * AnswerPatience.LEAST_MILLIS);
    assertThat(patience.millis(3)).isEqualTo(AnswerPatience.MOST_MILLIS);
    assertThat(patience.millis(9)).isEqualTo(AnswerPatience.MOST_MILLIS);
  }
}
