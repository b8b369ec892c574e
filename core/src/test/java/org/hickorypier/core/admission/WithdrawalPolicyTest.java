package org.hickorypier.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WithdrawalPolicyTest {

  /** Guards against refusals that a successor, or a store that is merely slow, makes needless. */
  @Test
  void submissionWaitsForSuccessorAndForSlowStore() {
    assertThat(WithdrawalPolicy.isDue(0, 600, 2_000)).isFalse();
    assertThat(WithdrawalPolicy.isDue(2_200, 2_200, 600)).isFalse();
    assertThat(WithdrawalPolicy.isDue(0, 20, 200)).isFalse();
  }

  /** Guards against an unknown outcome at the end of the caller's time or of the takeover. */
  @Test
  void submissionIsWithdrawnBeforeItsCallersTimeEnds() {
    assertThat(WithdrawalPolicy.isDue(2_201, 10, Long.MAX_VALUE)).isTrue();
    assertThat(WithdrawalPolicy.isDue(400, 500, 250)).isTrue();
    assertThat(WithdrawalPolicy.isDue(0, 100, 0)).isTrue();
  }
}
