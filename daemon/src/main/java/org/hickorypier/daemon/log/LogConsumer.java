package org.hickorypier.daemon.log;

import org.hickorypier.wire.UndecodableException;

/**
 * Takes the records of one stream in the order of their offsets.
 *
 * <p>All methods run on the control thread.
 *
 * @param <T> the family of records
 */
public interface LogConsumer<T> {

  /**
   * Takes one record.
   *
   * @param offset its offset; higher than all before it, unless the stream was read again
   * @param record the record
   */
  void onRecord(long offset, T record);

  /**
   * Takes note of a record that this program cannot read. The stream goes on after it.
   *
   * @param offset its offset
   * @param data the record as it is in the log
   * @param reason why it cannot be read
   */
  void onUnreadable(long offset, byte[] data, UndecodableException reason);

  /**
   * Hears that records which were still to be read have expired, and that reading goes on at the
   * oldest one left. What lies between must come from a snapshot.
   *
   * @param wantedOffset the offset that was to be read next
   * @param oldestOffset the offset that is read next now
   */
  default void onExpired(long wantedOffset, long oldestOffset) {}
}
