package org.hickorypier.daemon.node;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.function.ToLongFunction;
import org.hickorypier.platform.http.TrafficCounter;

/** Exposes the bytes on the machine's link by purpose as metrics. Immutable, thus thread-safe. */
final class TrafficMetrics implements MeterBinder {

  private final TrafficCounter counter;

  TrafficMetrics(TrafficCounter counter) {
    this.counter = counter;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    for (String purpose : counter.totals().keySet()) {
      register(registry, purpose, "sent", TrafficCounter.Total::sent);
      register(registry, purpose, "received", TrafficCounter.Total::received);
    }
  }

  private void register(
      MeterRegistry registry,
      String purpose,
      String direction,
      ToLongFunction<TrafficCounter.Total> bytes) {
    FunctionCounter.builder(
            "hickorypier.link.bytes",
            counter,
            source ->
                bytes.applyAsLong(source.totals().getOrDefault(purpose, TrafficCounter.Total.NONE)))
        .tag("purpose", purpose)
        .tag("direction", direction)
        .description("bytes on the link of this machine by purpose")
        .register(registry);
  }
}
