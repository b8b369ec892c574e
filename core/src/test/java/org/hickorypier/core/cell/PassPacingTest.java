package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PassPacingTest {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PassPacing pacing = new PassPacing();

  private void pass(int count, long nanos) {
    for (int index = 0; index < count; index++) {
      pacing.recordPass(nanos, true);
    }
  }

  @Test
  void shortPassesFollowEventsAtOnce() {
    pass(100, NANOS_PER_MILLI / 2);
    assertThat(pacing.delay()).hasMillis(4);
  }

  /** Guards against an owner whose processor is taken up by scheduling passes. */
  @Test
  void longPassesTakeOneFifthOfTheProcessor() {
    pass(100, 6 * NANOS_PER_MILLI);
    assertThat(pacing.delay()).hasMillis(24);
    pass(100, NANOS_PER_MILLI);
    assertThat(pacing.delay()).hasMillis(4);
  }

  /** Guards against long passes that take more of the processor since they are done in parts. */
  @Test
  void partsOfPassFollowEachOtherAtOnceAndCountTogether() {
    for (int pass = 0; pass < 100; pass++) {
      assertThat(pacing.recordPass(3 * NANOS_PER_MILLI, false)).isEqualTo(3);
      assertThat(pacing.delay()).hasMillis(1);
      assertThat(pacing.recordPass(3 * NANOS_PER_MILLI, true)).isEqualTo(6);
    }
    assertThat(pacing.delay()).hasMillis(24);
  }

  @Test
  void singleInterruptedPassHardlyDelaysTheNext() {
    pass(100, NANOS_PER_MILLI);
    pass(1, 20 * NANOS_PER_MILLI);
    assertThat(pacing.delay().toMillis()).isLessThan(20);
    pass(100, 500 * NANOS_PER_MILLI);
    assertThat(pacing.delay()).hasMillis(50);
  }
}
