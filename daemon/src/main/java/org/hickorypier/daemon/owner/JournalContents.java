package org.hickorypier.daemon.owner;

import java.util.List;
import java.util.Map;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.EarlyCancellationCodec;
import org.hickorypier.core.cell.EndedSubmission;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cell.RosterCodec;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.estimation.WorkerSpeed;
import org.hickorypier.core.estimation.WorkerSpeedCodec;
import org.hickorypier.core.submission.SubmissionCodec;
import org.hickorypier.core.submission.SubmissionProgress;
import org.hickorypier.core.submission.SubmissionState;
import org.hickorypier.wire.UndecodableException;

/**
 * The contents of the journal, from which a new owner restores its cell. The records of submissions
 * are released one by one as they are decoded: both forms of all of them do not fit into the heap.
 *
 * <p>Confined to the control thread.
 */
final class JournalContents {

  private static final SubmissionProgress NO_PROGRESS =
      new SubmissionProgress(SubmissionState.QUEUED, 0, List.of(), Map.of());

  private final Map<String, byte[]> values;
  private final EventLog log;

  /**
   * Creates the contents.
   *
   * @param values the newest value of each key; must be modifiable if submissions are restored
   */
  JournalContents(Map<String, byte[]> values, EventLog log) {
    this.values = values;
    this.log = log;
  }

  OwnerRecord owner() {
    byte[] value = values.get(JournalKeys.OWNER);
    try {
      return value == null ? OwnerRecord.NONE : OwnerRecord.decode(value);
    } catch (UndecodableException error) {
      log.event("journal", "unreadable-record", "key", JournalKeys.OWNER);
      return OwnerRecord.NONE;
    }
  }

  List<RosterEntry> roster() {
    byte[] value = values.get(JournalKeys.ROSTER);
    try {
      return value == null ? List.of() : RosterCodec.decode(value);
    } catch (UndecodableException | RuntimeException error) {
      log.event(
          "journal", "unreadable-record", "key", JournalKeys.ROSTER, "error", error.getMessage());
      return List.of();
    }
  }

  /** Returns the speeds of the workers; empty if they are missing or cannot be decoded. */
  List<WorkerSpeed> speeds() {
    byte[] value = values.get(JournalKeys.SPEEDS);
    try {
      return value == null ? List.of() : WorkerSpeedCodec.decode(value);
    } catch (UndecodableException error) {
      log.event(
          "journal", "unreadable-record", "key", JournalKeys.SPEEDS, "error", error.getMessage());
      return List.of();
    }
  }

  /**
   * Restores the submissions and early cancellations in a cell, and removes them from these
   * contents. What cannot be decoded is logged and left out.
   *
   * @param now the present time of the monotonic clock, in milliseconds
   * @param wallMillis the present time of the wall clock, in milliseconds
   * @return the number of submissions in the journal
   */
  int restore(Cell cell, long now, long wallMillis) {
    restoreEarlyCancellations(cell);
    int count = 0;
    List<String> keys = values.keySet().stream().filter(JournalKeys::isSpecKey).toList();
    for (String key : keys) {
      byte[] spec = values.remove(key);
      if (spec != null) {
        count++;
        try {
          restore(cell, JournalKeys.submissionId(key), spec, now, wallMillis);
        } catch (UndecodableException error) {
          log.event("journal", "unreadable-record", "key", key, "error", error.getMessage());
        }
      }
    }
    return count;
  }

  private void restore(Cell cell, String id, byte[] spec, long now, long wallMillis)
      throws UndecodableException {
    byte[] value = values.remove(JournalKeys.progressKey(id));
    SubmissionProgress progress =
        value == null ? NO_PROGRESS : SubmissionCodec.decodeProgress(value);
    if (progress.state().isTerminal() && progress.endedAtMillis() > 0) {
      String customer = SubmissionCodec.decodeCustomer(spec);
      cell.restoreEnded(
          id, new EndedSubmission(customer, progress.state(), progress.endedAtMillis(), spec));
    } else {
      cell.restore(
          SubmissionCodec.decode(spec),
          SubmissionCodec.decodeNumber(spec),
          progress,
          now,
          wallMillis);
    }
  }

  private void restoreEarlyCancellations(Cell cell) {
    List<String> keys =
        values.keySet().stream().filter(JournalKeys::isEarlyCancellationKey).toList();
    for (String key : keys) {
      byte[] value = values.remove(key);
      if (value != null) {
        try {
          cell.restoreEarlyCancellations(
              JournalKeys.earlyCancellationId(key), EarlyCancellationCodec.decode(value));
        } catch (UndecodableException error) {
          log.event("journal", "unreadable-record", "key", key, "error", error.getMessage());
        }
      }
    }
  }
}
