package org.hickorypier.daemon.job;

import io.smallrye.mutiny.Uni;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.core.journal.Journal;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.log.LogAppender;
import org.hickorypier.daemon.log.LogConsumer;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.record.JournalRecord;

/** The journal as folded by this instance. Belongs to the control thread. */
public final class JournalService implements LogConsumer<JournalRecord> {

  private static final Logger LOGGER = System.getLogger(JournalService.class.getName());

  private final Journal journal = new Journal();
  private final List<Consumer<WorkKey>> listeners = new ArrayList<>();
  private LogAppender<JournalRecord> appender;

  /**
   * Sets where records go. The appender must hear the follower after this service.
   *
   * @param log the appender of the journal
   */
  public void appendTo(LogAppender<JournalRecord> log) {
    appender = log;
  }

  /**
   * Adds a listener, which hears of every change of an entry.
   *
   * @param listener is given the key of the entry
   */
  public void subscribe(Consumer<WorkKey> listener) {
    listeners.add(listener);
  }

  /**
   * Returns the folded journal, for reading only.
   *
   * @return the journal
   */
  public Journal journal() {
    return journal;
  }

  /**
   * Appends a record, and repeats it until it has been read back.
   *
   * @param record the record
   * @return the offset at which it was folded here
   */
  public Uni<Long> append(JournalRecord record) {
    return appender.append(record);
  }

  /**
   * Takes a record back if it was never sent.
   *
   * @param record the record
   * @return true if it is not in the log and never will be
   */
  public boolean takeBack(JournalRecord record) {
    return appender.withdraw(record.recordId());
  }

  @Override
  public void onRecord(long offset, JournalRecord record) {
    Verdict verdict = journal.apply(offset, record);
    LOGGER.log(Level.DEBUG, "journal: offset {0}: {1}, {2}", offset, record.recordId(), verdict);
    if (verdict == Verdict.APPLIED) {
      WorkKey key = new WorkKey(record.team(), record.requestId());
      listeners.forEach(listener -> listener.accept(key));
    }
  }

  @Override
  public void onUnreadable(long offset, byte[] data, UndecodableException reason) {
    LOGGER.log(Level.WARNING, "journal: offset {0} cannot be read, passed over", offset);
    journal.skip(offset);
  }
}
