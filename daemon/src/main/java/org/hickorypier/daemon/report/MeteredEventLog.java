package org.hickorypier.daemon.report;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.cell.EventLog;

/**
 * A decorator that counts the events sent to a log and keeps histograms of their durations.
 *
 * <p>Log and metrics use the same names: an alert on a counter names the event to search for in the
 * log. Lines that the log drops are counted as well.
 *
 * <p>The registry is created after the first events, because its creation takes 0.1 s on the users'
 * machines, and after a restart callers would wait that much longer for an owner. Until then events
 * are buffered, and they are counted when the registry is bound. Thread-safe.
 */
public final class MeteredEventLog implements EventLog {

  /** A start logs some hundred events, a takeover some thousand. */
  private static final int MAX_BUFFERED_SAMPLES = 20_000;

  private final EventLog next;
  private final List<EventSample> bufferedSamples = new ArrayList<>();
  private volatile EventMeters meters;

  /**
   * Creates the log.
   *
   * @param next receives all events
   */
  public MeteredEventLog(EventLog next) {
    this.next = next;
  }

  /**
   * Counts the buffered events and all later ones in a registry.
   *
   * @param registry the registry of the meters
   */
  public synchronized void bindTo(MeterRegistry registry) {
    EventMeters newMeters = new EventMeters(registry);
    bufferedSamples.forEach(newMeters::count);
    bufferedSamples.clear();
    meters = newMeters;
  }

  @Override
  public void event(String part, String event, Object... fields) {
    next.event(part, event, fields);
    EventSample sample = EventSample.of(part, event, fields);
    EventMeters current = meters;
    if (current != null) {
      current.count(sample);
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
