package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.LogPage;
import org.hickorypier.platform.store.Snapshot;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.platform.store.StoreError;
import org.hickorypier.platform.store.StoreException;

/**
 * Reads a keyed topic: first a snapshot with the newest record of each key, then the records
 * written after it.
 *
 * <p>Invariant: no record is skipped. Where the store no longer keeps the next record, the snapshot
 * is read again. Confined to the control thread.
 */
final class TopicReader {

  static final int PARTITION = 0;
  private static final long NO_POSITION = -1;

  private final StoreClient store;
  private final String topic;
  private long position = NO_POSITION;

  TopicReader(StoreClient store, String topic) {
    this.store = store;
    this.topic = topic;
  }

  /**
   * The result of one read.
   *
   * <p>Immutable.
   *
   * @param isSnapshot true if the records are the newest of all keys; a key without a record no
   *     longer exists
   * @param caughtUp true if the topic had no further records when the store answered
   * @param records the records, in the order in which they were written
   */
  record Changes(boolean isSnapshot, boolean caughtUp, List<KeyedRecord> records) {

    Changes {
      records = List.copyOf(records);
    }
  }

  /**
   * Reads the next records.
   *
   * @param waitMillis how long the store may wait for a record, in milliseconds
   * @return the records; or the error of the store, after which the read may be repeated
   */
  Future<Changes> readNext(long waitMillis) {
    Future<Changes> read =
        position == NO_POSITION
            ? store.readSnapshot(topic, PARTITION).map(this::fromSnapshot)
            : store.read(topic, PARTITION, position, waitMillis).map(this::fromPage);
    return read.onFailure(this::restartIfExpired);
  }

  /** Returns the offset of the next record to read; meaningful after a successful read. */
  long position() {
    return position;
  }

  private Changes fromSnapshot(Snapshot snapshot) {
    position = snapshot.from();
    List<KeyedRecord> records = new ArrayList<>();
    snapshot.values().forEach((key, value) -> records.add(new KeyedRecord(key, value)));
    return new Changes(true, true, records);
  }

  private Changes fromPage(LogPage page) {
    position += page.records().size();
    return new Changes(false, position >= page.end(), page.records());
  }

  private void restartIfExpired(Throwable error) {
    if (error instanceof StoreException failure && failure.error() == StoreError.EXPIRED) {
      position = NO_POSITION;
    }
  }
}
