package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OwnershipDenialTest {

  private final OwnershipDenial denial = new OwnershipDenial();

  @Test
  void nothingIsDeniedAtFirst() {
    assertThat(denial.isDenied()).isFalse();
    assertThat(denial.deniedMillis(5_000)).isZero();
  }

  /** Failure: all requests are sent every 150 ms to an owner that is reading the journal. */
  @Test
  void questionsBecomeRarerWhileOwnershipIsDenied() {
    assertThat(denial.record(1_000)).isTrue();
    long askedAt = 1_000;
    int questions = 0;
    while (askedAt < 6_000) {
      askedAt += denial.nextDelayMillis();
      questions++;
      assertThat(denial.record(askedAt)).isFalse();
    }
    assertThat(questions).isLessThanOrEqualTo(7);
    assertThat(denial.deniedMillis(6_000)).isEqualTo(5_000);
  }

  @Test
  void proofEndsDenialAndNextOneBeginsAnew() {
    denial.record(1_000);
    denial.nextDelayMillis();
    denial.nextDelayMillis();
    denial.clear();
    assertThat(denial.isDenied()).isFalse();
    assertThat(denial.record(9_000)).isTrue();
    assertThat(denial.deniedMillis(9_100)).isEqualTo(100);
    assertThat(denial.nextDelayMillis()).isEqualTo(OwnershipDenial.FIRST_DELAY_MILLIS);
  }
}
