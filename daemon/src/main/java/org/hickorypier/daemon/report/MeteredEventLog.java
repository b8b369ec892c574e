package org.hickorypier.daemon.report;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.cell.EventLog;

/**
 * Counts events on their way to the log, and keeps histograms of the times that they tell of.
 *
 * <p>Log and metrics so tell the same story in the same words: an alert on a counter names the
 * event to look for in the log. Lines that the log leaves out are counted all the same.
 *
 * <p>The registry comes later than the first events: making it takes a restarted process 0.1 s on
 * the users' machines, in which callers wait for an owner. Until then events are kept, and counted
 * once it is there. Thread safe.
 */
public final class MeteredEventLog implements EventLog {

  /** A start tells of some hundred events, a takeover of some thousand. */
  private static final int MAX_BUFFERED_SAMPLES = 20_000;

  private final EventLog next;
  private final List<EventSample> bufferedSamples = new ArrayList<>();
  private volatile EventMeters meters;

  /**
   * Creates the log.
   *
   * @param next takes all events
   */
  public MeteredEventLog(EventLog next) {
    this.next = next;
  }

  /**
   * Counts from here on, and what was kept until now.
   *
   * @param registry holds the meters
   */
  public synchronized void bindTo(MeterRegistry registry) {
    EventMeters opened = new EventMeters(registry);
    bufferedSamples.forEach(opened::count);
    bufferedSamples.clear();
    meters = opened;
  }

  @Override
  public void event(String part, String event, Object... fields) {
    next.event(part, event, fields);
    EventSample sample = EventSample.of(part, event, fields);
    EventMeters present = meters;
    if (present != null) {
      present.count(sample);
    } else {
      buffer(sample);
    }
  }

  private synchronized void buffer(EventSample sample) {
    if (meters != null) {
      meters.count(sample);
    } else if (bufferedSamples.size() < MAX_BUFFERED_SAMPLES) {
      bufferedSamples.add(sample);
    }
  }
}
