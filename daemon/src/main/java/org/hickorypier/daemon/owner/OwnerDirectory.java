package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.wire.UndecodableException;

/**
 * Tracks the present owner of the cell, from the record that each owner writes to the store.
 *
 * <p>Invariant: the epoch only increases. Confined to the control thread.
 */
public final class OwnerDirectory {

  private static final String PART = "directory";

  /** Longest wait of a read while nothing changes; a change ends the wait immediately. */
  private static final long READ_WAIT_MILLIS = 3_000;

  private static final Duration RETRY_DELAY = Duration.ofMillis(200);

  private final TopicReader reader;
  private final TimerService timers;
  private final EventLog log;
  private final Consumer<OwnerRecord> listener;
  private OwnerRecord owner = OwnerRecord.NONE;

  /** When the present owner replaced another one; empty if it is the first that was read. */
  private OptionalLong changedAt = OptionalLong.empty();

  /**
   * Creates the directory.
   *
   * @param store the store
   * @param timers the clock and the timers
   * @param log receives the events
   * @param listener receives each new owner
   */
  public OwnerDirectory(
      StoreClient store, TimerService timers, EventLog log, Consumer<OwnerRecord> listener) {
    this.reader = new TopicReader(store, JournalKeys.DIRECTORY_TOPIC);
    this.timers = timers;
    this.log = log;
    this.listener = listener;
  }

  /** Starts reading. Another read follows each read, after a delay if it failed. */
  public void start() {
    reader
        .readNext(READ_WAIT_MILLIS)
        .onComplete(this::handleChanges, error -> timers.after(RETRY_DELAY, this::start));
  }

  /**
   * Returns the present owner.
   *
   * @return the owner, or {@link OwnerRecord#NONE}
   */
  public OwnerRecord owner() {
    return owner;
  }

  /**
   * Returns whether the present owner has replaced another one within some time.
   *
   * @param millis the time, in milliseconds
   * @return false also if the owner is the first one that this instance has read of
   */
  public boolean hasChangedWithin(long millis) {
    return changedAt.isPresent() && timers.nowMillis() - changedAt.getAsLong() < millis;
  }

  /**
   * Applies an owner record from the store or from another instance, unless its epoch is not newer.
   *
   * @param newer the record
   */
  public void learn(OwnerRecord newer) {
    if (newer.epoch() > owner.epoch()) {
      log.event(
          PART,
          "owner-changed",
          "epoch",
          newer.epoch(),
          "address",
          newer.address(),
          "before",
          owner.epoch());
      changedAt = owner.epoch() == 0 ? OptionalLong.empty() : OptionalLong.of(timers.nowMillis());
      owner = newer;
      listener.accept(newer);
    }
  }

  /** Applies a read. Another one follows even if it fails, or later owners would be missed. */
  private void handleChanges(TopicReader.Changes changes) {
    try {
      for (KeyedRecord record : changes.records()) {
        if (record.key().equals(JournalKeys.DIRECTORY_KEY)) {
          applyRecord(record.value());
        }
      }
    } finally {
      start();
    }
  }

  private void applyRecord(byte[] value) {
    if (value == null) {
      return;
    }
    try {
      learn(OwnerRecord.decode(value));
    } catch (UndecodableException error) {
      log.event(PART, "unreadable-record", "error", error.getMessage());
    }
  }
}
