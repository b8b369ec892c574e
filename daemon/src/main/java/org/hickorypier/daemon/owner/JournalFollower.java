package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.Snapshot;
import org.hickorypier.platform.store.StoreClient;

/**
 * Follows the journal on an instance that stands by, so that its takeover has only the last records
 * to read.
 *
 * <p>A takeover that begins with nothing reads the submissions of two minutes. On a link of 2
 * Mbit/s this takes seconds; meanwhile callers wait, other instances find the owner lost as well,
 * and each of them begins to read. Confined to the control thread.
 */
final class JournalFollower {

  private static final String PART = "standby";

  /** Pause after a read, so that the records of a busy owner arrive together. */
  private static final Duration READ_PAUSE = Duration.ofMillis(250);

  /** Longest wait of a read while nothing is written; an idle owner writes once a second. */
  private static final long READ_WAIT_MILLIS = 1_000;

  /** Exceeds the time in which a lost owner is noticed, since nobody renews the request then. */
  private static final long REQUEST_VALIDITY_MILLIS = 8_000;

  private final StoreClient store;
  private final TimerService timers;
  private final EventLog log;
  private final Map<String, byte[]> values = new HashMap<>();
  private TopicReader reader;
  private long position;
  private boolean complete;
  private long requestedUntil = Long.MIN_VALUE;

  JournalFollower(StoreClient store, TimerService timers, EventLog log) {
    this.store = store;
    this.timers = timers;
    this.log = log;
  }

  /** Starts to follow the journal, or goes on for some seconds. */
  void follow() {
    requestedUntil = timers.nowMillis() + REQUEST_VALIDITY_MILLIS;
    if (reader == null) {
      log.event(PART, "following-started");
      reader = new TopicReader(store, JournalKeys.TOPIC);
      readNext(reader);
    }
  }

  /** Stops to follow the journal and drops what was read. */
  void stop() {
    if (reader != null) {
      log.event(PART, "following-ended", "keys", values.size());
      reader = null;
      complete = false;
      values.clear();
    }
  }

  /** Returns whether all of the journal has been read but the records of the last moments. */
  boolean isReady() {
    return complete;
  }

  /** Returns what has been read, and where to read on; empty unless this follower is ready. */
  Optional<Snapshot> snapshot() {
    return complete ? Optional.of(new Snapshot(position, new HashMap<>(values))) : Optional.empty();
  }

  private void readNext(TopicReader current) {
    if (current != reader) {
      return;
    }
    if (timers.nowMillis() > requestedUntil) {
      stop();
      return;
    }
    current
        .readNext(READ_WAIT_MILLIS)
        .onSuccess(changes -> apply(current, changes))
        .onComplete(done -> timers.after(READ_PAUSE, () -> readNext(current)));
  }

  private void apply(TopicReader current, TopicReader.Changes changes) {
    if (current != reader) {
      return;
    }
    if (changes.isSnapshot()) {
      values.clear();
    }
    for (KeyedRecord entry : changes.records()) {
      if (entry.value() == null) {
        values.remove(entry.key());
      } else {
        values.put(entry.key(), entry.value());
      }
    }
    position = current.position();
    if (!complete) {
      complete = true;
      log.event(PART, "following-ready", "keys", values.size(), "position", position);
    }
  }
}
