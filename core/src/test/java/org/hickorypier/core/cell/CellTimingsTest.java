package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CellTimingsTest {

  /** Guards against an order that is carried out after a short time limit of an evacuation. */
  @ParameterizedTest
  @ValueSource(longs = {2_900, 3_000, 3_500, 4_000, 5_000, 10_000})
  void orderThatFollowsTheOldestReadExpiresWithinTheLimit(long evacuationMillis) {
    CellTimings timings = CellFixture.TIMINGS.withEvacuationMillis(evacuationMillis);
    double longestOrderMillis = timings.startOrderMillis() / CellTimings.SLOWEST_CLOCK_RATE;
    assertThat(timings.evacuationReadAgeMillis() + longestOrderMillis)
        .isLessThanOrEqualTo(evacuationMillis);
    assertThat(timings.evacuationReadAgeMillis()).isGreaterThanOrEqualTo(1_500);
    assertThat(timings.startOrderMillis()).isBetween(1_000L, 2_000L);
  }
}
