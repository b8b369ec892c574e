package org.hickorypier.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BackOffTest {

  @ParameterizedTest
  @CsvSource({"0, 50, 100", "1, 100, 200", "2, 200, 400", "6, 2500, 5000", "200, 2500, 5000"})
  void stepDoublesUpToTheLimit(int failuresBefore, long minMillis, long maxMillis) {
    for (int seed = 0; seed < 50; seed++) {
      BackOff backOff = new BackOff(100, 5_000, new SplittableRandom(seed));
      LongStream.range(0, failuresBefore).forEach(ignored -> backOff.nextDelayMillis());

      assertThat(backOff.nextDelayMillis()).isBetween(minMillis, maxMillis);
    }
  }

  // 100 peers lose the same instance at the same moment. If all of them retried after the same
  // delay, the recovered instance would receive 100 handshakes at once.
  @Test
  void delaysAreSpreadByJitter() {
    long different =
        LongStream.range(0, 100)
            .map(seed -> new BackOff(1_000, 8_000, new SplittableRandom(seed)).nextDelayMillis())
            .distinct()
            .count();

    assertThat(different).isGreaterThan(70);
  }

  @Test
  void successRestartsAtFirstStep() {
    BackOff backOff = new BackOff(100, 5_000, new SplittableRandom(1));
    LongStream.range(0, 5).forEach(ignored -> backOff.nextDelayMillis());
    backOff.reset();

    assertThat(backOff.nextDelayMillis()).isLessThanOrEqualTo(100);
  }
}
