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

  /** A store that takes 240 ms without being lost is not sent everything twice. */
  @Test
  void slowStoreIsWaitedForLonger() {
    patience.answered(240);
    assertThat(patience.millis(1)).isEqualTo(720);
    for (int answers = 0; answers < 20; answers++) {
      patience.answered(4);
    }
    assertThat(patience.millis(1)).isEqualTo(AnswerPatience.LEAST_MILLIS);
  }

  @Test
  void eachFurtherAttemptWaitsTwiceAsLongUpToABound() {
    assertThat(patience.millis(2)).isEqualTo(2 * AnswerPatience.LEAST_MILLIS);
    assertThat(patience.millis(3)).isEqualTo(4 * AnswerPatience.LEAST_MILLIS);
    assertThat(patience.millis(9)).isEqualTo(AnswerPatience.MOST_MILLIS);
  }
}
