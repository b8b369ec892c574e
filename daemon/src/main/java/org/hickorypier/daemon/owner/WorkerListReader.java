package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.cell.DepartureDetector;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.execution.WorkerEntryDecoder;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.wire.UndecodableException;

/**
 * Reads the workers' entries from the store while this instance owns the cell.
 *
 * <p>Invariant: the listener receives the list only as it is at the end of the topic. A state
 * before that may be old, and would count as just read. Confined to the control thread.
 */
final class WorkerListReader {

  private static final String PART = "workers";

  /**
   * A read that waits for changes would return some 20 times a second, since each worker writes
   * every 1.5 s. A read about twice a second is soon enough for a drain, which must take effect
   * within 2 s.
   */
  private static final Duration READ_PERIOD = Duration.ofMillis(400);

  private final TopicReader reader;
  private final TimerService timers;
  private final EventLog log;
  private final SuspensionDetector suspensionDetector;
  private final DepartureDetector departureDetector;
  private final Listener listener;
  private final Map<String, WorkerEntry> entries = new HashMap<>();

  /** The errors of the entries that are in the list and not used, so that each is logged once. */
  private final Map<String, String> decodeErrors = new HashMap<>();

  /** The workers that have left since the listener last received the list. */
  private final Set<String> departed = new HashSet<>();

  private boolean stopped;
  private long readSentAt;

  /**
   * When the last read that reached the end of the topic was sent; all records read since then were
   * written after this time.
   */
  private long lastCompleteReadSentAt;

  /** Receives the list of workers after each read. */
  @FunctionalInterface
  interface Listener {

    /**
     * Handles a new state of the list.
     *
     * @param entries all listed workers, by id
     * @param departed the workers that have left since the previous state
     */
    void workersListed(Map<String, WorkerEntry> entries, Set<String> departed);
  }

  WorkerListReader(OwnerDependencies dependencies, Listener listener) {
    this.reader = new TopicReader(dependencies.store(), StoreClient.WORKERS_TOPIC);
    this.timers = dependencies.timers();
    this.log = dependencies.log();
    this.suspensionDetector = dependencies.suspensionDetector();
    this.departureDetector = new DepartureDetector(dependencies.workerHeartbeatMillis());
    this.listener = listener;
  }

  void start() {
    if (!stopped) {
      readSentAt = timers.nowMillis();
      reader.readNext(0).onComplete(this::handleChanges, error -> scheduleRead());
    }
  }

  void stop() {
    stopped = true;
  }

  /** Applies a read. Another one follows even if it fails, or the list would stay as it is. */
  private void handleChanges(TopicReader.Changes changes) {
    try {
      apply(changes);
    } finally {
      if (changes.caughtUp() || changes.records().isEmpty()) {
        scheduleRead();
      } else {
        start();
      }
    }
  }

  private void apply(TopicReader.Changes changes) {
    if (changes.isSnapshot()) {
      entries.clear();
      decodeErrors.keySet().retainAll(changes.records().stream().map(KeyedRecord::key).toList());
    }
    for (KeyedRecord record : changes.records()) {
      applyRecord(record.key(), record.value());
    }
    if (changes.isSnapshot()) {
      departureDetector.clear();
    }
    if (!changes.caughtUp()) {
      return;
    }
    lastCompleteReadSentAt = readSentAt;
    Set<String> left = Set.copyOf(departed);
    departed.clear();
    if (!stopped) {
      listener.workersListed(entries, left);
    }
  }

  private void scheduleRead() {
    if (!stopped) {
      timers.after(READ_PERIOD, this::start);
    }
  }

  private void applyRecord(String id, byte[] value) {
    departed.remove(id);
    if (value == null) {
      entries.remove(id);
      decodeErrors.remove(id);
      if (departureDetector.recordRemoval(
          id, suspensionDetector.uninterruptedSince(), timers.nowMillis())) {
        departed.add(id);
      }
      return;
    }
    try {
      WorkerEntry entry = WorkerEntryDecoder.decode(id, value);
      entries.put(id, entry);
      departureDetector.recordWrite(entry, lastCompleteReadSentAt);
      decodeErrors.remove(id);
    } catch (UndecodableException error) {
      entries.remove(id);
      if (!error.getMessage().equals(decodeErrors.put(id, error.getMessage()))) {
        log.event(PART, "unreadable-entry", "worker", id, "error", error.getMessage());
      }
    }
  }
}
