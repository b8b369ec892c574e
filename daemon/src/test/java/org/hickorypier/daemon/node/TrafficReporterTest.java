package org.hickorypier.daemon.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.platform.http.TrafficCounter;
import org.junit.jupiter.api.Test;

class TrafficReporterTest {

  private static final double LINK_BYTES_PER_SECOND = 250_000;

  private final TrafficCounter counter = new TrafficCounter();
  private final List<List<Object>> lines = new ArrayList<>();
  private long nowMillis;
  private final TrafficReporter reporter =
      new TrafficReporter(
          counter,
          (part, event, fields) -> lines.add(List.of(fields)),
          () -> nowMillis,
          LINK_BYTES_PER_SECOND);

  private void report() {
    nowMillis += TrafficReporter.PERIOD.toMillis();
    reporter.reportIfBusy();
  }

  @Test
  void linkWithLittleTrafficIsNotReported() {
    counter.record("hold", 100_000, 100_000);
    report();
    assertThat(lines).isEmpty();
  }

  /** Guards against an owner behind a full link whose log does not tell what fills it. */
  @Test
  void busyLinkIsReportedWithItsLargestPurposesFirst() {
    counter.record("hold", 20_000, 30_000);
    counter.record("run-start", 300_000, 10_000);
    report();
    assertThat(lines).hasSize(1);
    assertThat(lines.get(0))
        .contains(160_000L, 20_000L, 250_000L)
        .endsWith("run-start=300000/10000 hold=20000/30000");
  }

  @Test
  void reportCoversTheTimeSinceTheLastOne() {
    counter.record("run-start", 400_000, 0);
    report();
    report();
    assertThat(lines).hasSize(1);
  }
}
