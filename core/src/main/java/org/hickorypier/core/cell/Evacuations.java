package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * The data centres that are being evacuated. Their workers get no new tasks until the operator
 * withdraws the request; active runs continue.
 *
 * <p>Invariant: where evacuations are under a time limit, nothing may start once the last read is
 * so old that a request for any data centre may have been missed for that long. Confined to the
 * control thread.
 */
final class Evacuations {

  private static final String PART = "cell";

  private final long maxReadAgeMillis;
  private final EventLog log;
  private final Map<String, Long> requestedAt = new HashMap<>();
  private EvacuationReading reading = EvacuationReading.NONE;
  private boolean outOfDate;

  Evacuations(long maxReadAgeMillis, EventLog log) {
    this.maxReadAgeMillis = maxReadAgeMillis;
    this.log = log;
  }

  /**
   * Applies a read.
   *
   * @return whether the data centres have changed
   */
  boolean update(EvacuationReading newer, long now) {
    boolean changed = !newer.dataCentres().equals(reading.dataCentres());
    reading = newer;
    if (changed) {
      newer.dataCentres().forEach(name -> begin(name, now));
      requestedAt.entrySet().removeIf(entry -> end(entry, now));
    }
    return changed;
  }

  private void begin(String dataCentre, long now) {
    if (requestedAt.putIfAbsent(dataCentre, now) == null) {
      log.event(PART, "evacuation-began", "data_centre", dataCentre);
    }
  }

  private boolean end(Map.Entry<String, Long> entry, long now) {
    if (reading.dataCentres().contains(entry.getKey())) {
      return false;
    }
    log.event(
        PART,
        "evacuation-ended",
        "data_centre",
        entry.getKey(),
        "lasted_ms",
        now - entry.getValue());
    return true;
  }

  /** Returns whether a worker in a data centre gets no new tasks; "" stands for an unknown one. */
  boolean includes(String dataCentre) {
    return dataCentre.isEmpty()
        ? !reading.dataCentres().isEmpty()
        : reading.dataCentres().contains(dataCentre);
  }

  /** Returns whether the last read is recent enough for tasks to start. */
  boolean isUpToDate(long now) {
    boolean old = maxReadAgeMillis != CellTimings.UNLIMITED && age(now) > maxReadAgeMillis;
    if (old != outOfDate) {
      outOfDate = old;
      log.event(PART, old ? "evacuations-stale" : "evacuations-read", "age_ms", age(now));
    }
    return !old;
  }

  private long age(long now) {
    return now - reading.readAt();
  }
}
