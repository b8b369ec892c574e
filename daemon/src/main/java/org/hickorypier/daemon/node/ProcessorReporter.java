package org.hickorypier.daemon.node;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.time.DelayMonitor;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.http.TrafficCounter;

/**
 * Logs the processor time of this process, how late its control thread runs and what it handles,
 * while the machine is near its limit.
 *
 * <p>A machine at the limit of its processor answers late, and other instances, workers and the
 * store then seem not to answer. A mean over a minute or over all instances hides the second in
 * which one owner is behind. Confined to the control thread.
 */
final class ProcessorReporter {

  static final Duration PERIOD = Duration.ofSeconds(1);

  private static final String PART = "processor";

  /** Share of the machine's processor time from which on its use is logged. */
  private static final double BUSY_SHARE = 0.8;

  /** Lateness of the control thread that shows in the answers to callers. */
  private static final long LATE_MILLIS = 100;

  /** Number of purposes in one line, those with the most messages. */
  private static final int LISTED_PURPOSES = 8;

  private final TrafficCounter counter;
  private final EventLog log;
  private final TimerService timers;
  private final DelayMonitor delayMonitor;
  private final LongSupplier processorMillis;
  private final double processors;
  private Map<String, TrafficCounter.Total> reported = Map.of();
  private long reportedAt;
  private long reportedProcessorMillis;

  /**
   * Creates the reporter.
   *
   * @param counter counts the messages by purpose
   * @param log receives the lines
   * @param timers the clock and the timers of the control thread
   * @param delayMonitor measures how late the control thread runs
   * @param processorMillis returns the processor time of this process, in milliseconds
   * @param processors the cores of this machine, of which a part counts too
   */
  ProcessorReporter(
      TrafficCounter counter,
      EventLog log,
      TimerService timers,
      DelayMonitor delayMonitor,
      LongSupplier processorMillis,
      double processors) {
    this.counter = counter;
    this.log = log;
    this.timers = timers;
    this.delayMonitor = delayMonitor;
    this.processorMillis = processorMillis;
    this.processors = processors;
    this.reportedAt = timers.nowMillis();
  }

  void start() {
    timers.every(PERIOD, this::reportIfBusy);
  }

  private void reportIfBusy() {
    long now = timers.nowMillis();
    long lateMillis = delayMonitor.takeMaxDelayMillis();
    long available = Math.round(processors * (now - reportedAt));
    long processor = processorMillis.getAsLong();
    long used = processor - reportedProcessorMillis;
    Map<String, TrafficCounter.Total> totals = counter.totals();
    if (used >= BUSY_SHARE * available || lateMillis >= LATE_MILLIS) {
      log.event(
          PART,
          "processor-busy",
          "used_ms",
          used,
          "available_ms",
          available,
          "late_ms",
          lateMillis,
          "messages_by_purpose",
          describeSinceLastReport(totals));
    }
    reported = totals;
    reportedAt = now;
    reportedProcessorMillis = processor;
  }

  private String describeSinceLastReport(Map<String, TrafficCounter.Total> totals) {
    record Count(String purpose, long messages) {}

    return totals.entrySet().stream()
        .map(entry -> new Count(entry.getKey(), messagesSinceLastReport(entry)))
        .filter(count -> count.messages() > 0)
        .sorted(Comparator.comparingLong(Count::messages).reversed())
        .limit(LISTED_PURPOSES)
        .map(count -> count.purpose() + "=" + count.messages())
        .collect(Collectors.joining(" "));
  }

  private long messagesSinceLastReport(Map.Entry<String, TrafficCounter.Total> entry) {
    return entry.getValue().messages()
        - reported.getOrDefault(entry.getKey(), TrafficCounter.Total.NONE).messages();
  }
}
