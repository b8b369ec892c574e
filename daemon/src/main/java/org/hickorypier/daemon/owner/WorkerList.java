package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.cell.DepartureDetector;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.daemon.time.PauseGuard;
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
  private final PauseGuard pauses;
  private final DepartureDetector departures;
  private final Listener listener;
  private final Map<String, WorkerEntry> entries = new HashMap<>();
  private final Map<String, String> spoilt = new HashMap<>();
  private boolean stopped;
  private long readSentAt;

  /** What is read next was written after this time. */
  private long completeAt;

  /** Hears of the list. */
  @FunctionalInterface
  interface Listener {

    /**
     * Takes the list.
     *
     * @param entries all listed workers, by id
     * @param departed workers that have left since the list was read before
     */
    void listed(Map<String, WorkerEntry> entries, Set<String> departed);
  }

  WorkerList(Instruments instruments, Listener listener) {
    this.reader = new TopicReader(instruments.store(), StoreClient.WORKERS_TOPIC);
    this.timers = instruments.timers();
    this.log = instruments.log();
    this.pauses = instruments.pauses();
    this.departures = new DepartureDetector(instruments.workerHeartbeatMillis());
    this.listener = listener;
  }

  void start() {
    if (!stopped) {
      readSentAt = timers.nowMillis();
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
    Set<String> departed = new HashSet<>();
    for (KeyedRecord entry : changes.records()) {
      take(entry.key(), entry.value(), departed);
    }
    if (changes.whole()) {
      departures.clear();
    }
    if (changes.caughtUp()) {
      completeAt = readSentAt;
    }
    if (!stopped) {
      listener.listed(entries, departed);
    }
    again();
  }

  private void again() {
    if (!stopped) {
      timers.after(PERIOD, this::start);
    }
  }

  private void take(String id, byte[] value, Set<String> departed) {
    departed.remove(id);
    if (value == null) {
      entries.remove(id);
      if (departures.recordRemoval(id, pauses.unbrokenSince(), timers.nowMillis())) {
        departed.add(id);
      }
      return;
    }
    try {
      WorkerEntry entry = WorkerEntryDecoder.decode(id, value);
      entries.put(id, entry);
      departures.recordWrite(entry, completeAt);
      spoilt.remove(id);
    } catch (UndecodableException error) {
      entries.remove(id);
      if (!error.getMessage().equals(spoilt.put(id, error.getMessage()))) {
        log.event(PART, "unreadable-entry", "worker", id, "error", error.getMessage());
      }
    }
  }
}
