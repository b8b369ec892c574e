package org.hickorypier.daemon.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.daemon.work.WorkObserver;
import org.hickorypier.daemon.work.WorkResult;

/**
 * Counters and latency histograms of work by team and class.
 *
 * <p>Thread-safe. The number of time series is bounded by the configured teams times the five
 * classes and four outcomes, because only work with a valid key reaches this observer.
 */
public final class WorkMetrics implements WorkObserver {

  // Urgent work must start within 4.6 s, so the buckets span from 1 ms to well beyond 4.6 s.
  private static final Duration[] BUCKET_BOUNDS = {
    Duration.ofMillis(1),
    Duration.ofMillis(5),
    Duration.ofMillis(20),
    Duration.ofMillis(100),
    Duration.ofMillis(500),
    Duration.ofSeconds(1),
    Duration.ofMillis(4_600),
    Duration.ofSeconds(30),
    Duration.ofMinutes(5),
  };

  private final MeterRegistry registry;

  /**
   * Creates the metrics.
   *
   * @param registry the registry of the meters
   */
  public WorkMetrics(MeterRegistry registry) {
    this.registry = registry;
  }

  @Override
  public void onStarted(WorkItem item, long waitedMillis) {
    timer("hickory.waiting", "time from submission to the confirmed start", item)
        .record(waitedMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void onFinished(WorkItem item, WorkResult result, long totalMillis) {
    timer("hickory.total", "time from submission to the final answer", item)
        .record(totalMillis, TimeUnit.MILLISECONDS);
    registry
        .counter(
            "hickory.outcomes",
            "team",
            item.key().team(),
            "class",
            className(item),
            "outcome",
            result.outcome().text(),
            "reason",
            result
                .refusal()
                .map(refusal -> refusal.reason().name().toLowerCase(Locale.ROOT))
                .orElse(""))
        .increment();
  }

  private Timer timer(String name, String description, WorkItem item) {
    return Timer.builder(name)
        .description(description)
        .tag("team", item.key().team())
        .tag("class", className(item))
        .serviceLevelObjectives(BUCKET_BOUNDS)
        .register(registry);
  }

  private static String className(WorkItem item) {
    return item.workClass().name().toLowerCase(Locale.ROOT);
  }
}
