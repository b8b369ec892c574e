package org.hickorypier.daemon.report;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class MeteredEventLogTest {

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final List<String> forwarded = new ArrayList<>();
  private final MeteredEventLog log =
      new MeteredEventLog((part, event, fields) -> forwarded.add(event));

  /** Guards against uncounted events of the first seconds, when there is no registry yet. */
  @Test
  void eventsBeforeRegistryIsBoundAreCounted() {
    log.event("run", "run-ended", "id", "1", "how", "DONE");
    log.bindTo(registry);
    log.event("run", "run-ended", "id", "2", "how", "DONE");
    assertThat(registry.scrape())
        .contains("hickorypier_events_total{event=\"run-ended\",outcome=\"DONE\",part=\"run\"} 2");
  }

  @Test
  void eventsAreCountedByOutcomeAndDurationsRecordedByCustomerAndQueue() {
    log.bindTo(registry);
    log.event("run", "run-ended", "id", "1", "how", "DONE");
    log.event("run", "run-ended", "id", "2", "how", "DONE");
    log.event("run", "completed", "id", "3", "customer", "t", "queue", "q", "took_ms", 120);

    assertThat(forwarded).containsExactly("run-ended", "run-ended", "completed");
    assertThat(registry.scrape())
        .contains("hickorypier_events_total{event=\"run-ended\",outcome=\"DONE\",part=\"run\"} 2")
        .contains(
            "hickorypier_time_bucket{customer=\"t\",event=\"completed\",queue=\"q\","
                + "le=\"250.0\"} 1");
  }

  /** Guards against a submission's id as a label: one series per submission exhausts memory. */
  @Test
  void submissionIdsCreateNoTimeSeries() {
    log.bindTo(registry);
    for (int index = 0; index < 1_000; index++) {
      log.event("owner", "accepted", "id", "id-" + index, "customer", "t", "queue", "q");
    }
    assertThat(registry.scrape()).doesNotContain("id-7");
    assertThat(registry.getMeters()).hasSize(1);
  }
}
