package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RenewalIntervalTest {

  private static final double BYTES_PER_MEGABIT = 125_000;

  @Test
  void fastLinkAsksOften() {
    assertThat(RenewalInterval.waitMillis(258, 200 * BYTES_PER_MEGABIT))
        .isEqualTo(RenewalInterval.MIN_WAIT_MILLIS);
  }

  /** Guards against renewals that take a quarter of a link of 2 Mbit/s in each direction. */
  @Test
  void fleetThatIsLargeForTheLinkIsAskedLessOften() {
    assertThat(RenewalInterval.waitMillis(84, 2 * BYTES_PER_MEGABIT)).isBetween(900L, 1_100L);
  }

  @Test
  void waitStaysWithinTheLease() {
    assertThat(RenewalInterval.waitMillis(4_200, 2 * BYTES_PER_MEGABIT))
        .isEqualTo(RenewalInterval.MAX_WAIT_MILLIS);
  }
}
