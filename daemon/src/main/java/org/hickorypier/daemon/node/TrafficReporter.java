package org.hickorypier.daemon.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.platform.http.TrafficCounter;

/**
 * Logs what fills the machine's link while much of it is in use.
 *
 * <p>An owner whose link is full answers callers, workers and other instances late, and nothing
 * else in its log tells why. Confined to the control thread.
 */
final class TrafficReporter {

  static final Duration PERIOD = Duration.ofSeconds(2);

  private static final String PART = "link";

  /** Share of the link, in either direction, from which on its use is logged. */
  private static final double BUSY_SHARE = 0.3;

  /** Number of purposes in one line, those with the most bytes. */
  private static final int LISTED_PURPOSES = 8;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final TrafficCounter counter;
  private final EventLog log;
  private final LongSupplier clock;
  private final double linkBytesPerSecond;
  private Map<String, TrafficCounter.Total> reported = new HashMap<>();
  private long reportedAt;

  TrafficReporter(
      TrafficCounter counter, EventLog log, LongSupplier clock, double linkBytesPerSecond) {
    this.counter = counter;
    this.log = log;
    this.clock = clock;
    this.linkBytesPerSecond = linkBytesPerSecond;
    this.reportedAt = clock.getAsLong();
  }

  /** The bytes of one purpose since the last report. */
  private record Use(String purpose, long sent, long received) {

    private long total() {
      return sent + received;
    }
  }

  void reportIfBusy() {
    long now = clock.getAsLong();
    double seconds = (now - reportedAt) / MILLIS_PER_SECOND;
    Map<String, TrafficCounter.Total> totals = counter.totals();
    List<Use> uses = usesSinceLastReport(totals);
    reported = totals;
    reportedAt = now;
    double sent = uses.stream().mapToLong(Use::sent).sum() / seconds;
    double received = uses.stream().mapToLong(Use::received).sum() / seconds;
    if (Math.max(sent, received) < BUSY_SHARE * linkBytesPerSecond) {
      return;
    }
    log.event(
        PART,
        "link-busy",
        "sent_per_second",
        Math.round(sent),
        "received_per_second",
        Math.round(received),
        "link_per_second",
        Math.round(linkBytesPerSecond),
        "sent_received_by_purpose",
        describe(uses));
  }

  private List<Use> usesSinceLastReport(Map<String, TrafficCounter.Total> totals) {
    List<Use> uses = new ArrayList<>();
    totals.forEach(
        (purpose, total) -> {
          TrafficCounter.Total before = reported.getOrDefault(purpose, TrafficCounter.Total.NONE);
          uses.add(
              new Use(purpose, total.sent() - before.sent(), total.received() - before.received()));
        });
    uses.sort(Comparator.comparingLong(Use::total).reversed());
    return uses;
  }

  private static String describe(List<Use> uses) {
    StringBuilder text = new StringBuilder();
    for (Use use : uses.subList(0, Math.min(LISTED_PURPOSES, uses.size()))) {
      text.append(text.isEmpty() ? "" : " ").append(use.purpose()).append('=');
      text.append(use.sent()).append('/').append(use.received());
    }
    return text.toString();
  }
}
