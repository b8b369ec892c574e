package org.hickorypier.daemon.report;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The counters and histograms of events, created on first use. Thread-safe. */
final class EventMeters {

  /** From one response of a worker to the longest work that is still useful to its caller. */
  private static final double[] BUCKET_BOUNDS_MILLIS = {
    5, 20, 50, 100, 250, 500, 1_000, 2_000, 5_000, 10_000, 30_000, 60_000
  };

  private final MeterRegistry registry;
  private final Map<String, Counter> counters = new ConcurrentHashMap<>();
  private final Map<String, DistributionSummary> histograms = new ConcurrentHashMap<>();

  EventMeters(MeterRegistry registry) {
    this.registry = registry;
  }

  void count(EventSample sample) {
    counter(sample).increment();
    if (sample.durationMillis() >= 0) {
      histogram(sample).record(sample.durationMillis());
    }
  }

  private Counter counter(EventSample sample) {
    return counters.computeIfAbsent(
        sample.part() + '|' + sample.event() + '|' + sample.outcome(),
        key ->
            Counter.builder("hickorypier.events")
                .description("decisions and changes of belief, as in the log")
                .tags("part", sample.part(), "event", sample.event(), "outcome", sample.outcome())
                .register(registry));
  }

  private DistributionSummary histogram(EventSample sample) {
    return histograms.computeIfAbsent(
        sample.event() + '|' + sample.customer() + '|' + sample.queue(),
        key ->
            DistributionSummary.builder("hickorypier.time")
                .description("time that an event tells of, in milliseconds")
                .tags(
                    "event", sample.event(), "customer", sample.customer(), "queue", sample.queue())
                .serviceLevelObjectives(BUCKET_BOUNDS_MILLIS)
                .register(registry));
  }
}
