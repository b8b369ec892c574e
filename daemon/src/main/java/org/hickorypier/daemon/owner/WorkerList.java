package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.execution.WorkerEntryDecoder;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.wire.UndecodableException;

/**
 * Reads the workers' entries from the store while this instance owns the cell.
 *
 * <p>Belongs to the control thread.
 */
final class WorkerList {

  private static final String PART = "workers";

  /**
   * Each worker writes every 1.5 s, so a read that waits would return some 20 times a second. Twice
   * a second is soon enough for a drain, which must be heeded within 2 s.
   */
  private static final Duration PERIOD = Duration.ofMillis(400);

  private final TopicReader reader;
  private final TimerService timers;
  private final EventLog log;
  private final Consumer<Map<String, WorkerEntry>> listener;
  private final Map<String, WorkerEntry> entries = new HashMap<>();
  private final Map<String, String> spoilt = new HashMap<>();
  private boolean stopped;

  WorkerList(
      StoreClient store,
      TimerService timers,
      EventLog log,
      Consumer<Map<String, WorkerEntry>> listener) {
    this.reader = new TopicReader(store, StoreClient.WORKERS_TOPIC);
    this.timers = timers;
    this.log = log;
    this.listener = listener;
  }

  void start() {
    if (!stopped) {
      reader.next(0).onComplete(this::read, error -> again());
    }
  }

  void stop() {
    stopped = true;
  }

  private void read(TopicReader.Changes changes) {
    if (changes.whole()) {
      entries.clear();
    }
    for (KeyedRecord entry : changes.records()) {
      take(entry.key(), entry.value());
    }
    if (!stopped) {
      listener.accept(entries);
    }
    again();
  }

  private void again() {
    if (!stopped) {
      timers.after(PERIOD, this::start);
    }
  }

  private void take(String id, byte[] value) {
    if (value == null) {
      entries.remove(id);
      return;
    }
    try {
      entries.put(id, WorkerEntryDecoder.decode(id, value));
      spoilt.remove(id);
    } catch (UndecodableException error) {
      entries.remove(id);
      if (!error.getMessage().equals(spoilt.put(id, error.getMessage()))) {
        log.event(PART, "unreadable-entry", "worker", id, "error", error.getMessage());
      }
    }
  }
}
