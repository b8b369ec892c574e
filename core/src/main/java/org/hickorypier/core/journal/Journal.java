package org.hickorypier.core.journal;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.wire.record.JournalRecord;
import org.hickorypier.wire.record.JournalRecord.Accepted;
import org.hickorypier.wire.record.JournalRecord.Attempt;
import org.hickorypier.wire.record.JournalRecord.AttemptVoid;
import org.hickorypier.wire.record.JournalRecord.Cancelled;
import org.hickorypier.wire.record.JournalRecord.Ended;

/**
 * The state that is folded from the journal: the accepted work, the attempts that may be running,
 * and the outcomes.
 *
 * <p>Two instances may both consider themselves home of the same work and both try to start it. An
 * attempt is applied only if the task has no open attempt, whichever instance appended it; both
 * instances read the same records in the same order, so exactly one finds its own attempt open and
 * the other starts nothing.
 *
 * <p>Deterministic: the same records at the same offsets produce the same state at every instance.
 * Invariants: each offset is applied once; entries are removed by the distance of offsets, never by
 * time. Confined to the control thread.
 */
public final class Journal {

  /** The maximum number of attempts of a task of idempotent work; its last outcome is final. */
  public static final int MAX_ATTEMPTS = 3;

  /**
   * Ended work is retained for this many records. At the target load of 42,000 jobs a day with four
   * records each this is half a day, long after a caller's last status query.
   */
  static final long RETENTION_OFFSETS = 80_000;

  private final Map<WorkKey, JournalEntry> entries = new LinkedHashMap<>();
  private final Deque<JournalEntry> ended = new ArrayDeque<>();
  private final Deque<JournalEntry> requests = new ArrayDeque<>();
  private long offset = -1;

  /**
   * Applies one record.
   *
   * @param at the record's offset
   * @param record the record
   * @return how the record was applied, or why it was not
   */
  public Verdict apply(long at, JournalRecord record) {
    if (at <= offset) {
      return Verdict.DUPLICATE;
    }
    offset = at;
    Verdict verdict = applyNew(at, record);
    removeExpired(at);
    return verdict;
  }

  /**
   * Skips a record that cannot be decoded.
   *
   * @param at the record's offset
   */
  public void skip(long at) {
    offset = Math.max(offset, at);
  }

  /**
   * Returns the offset of the last record that was applied or skipped.
   *
   * @return the offset, -1 before the first record
   */
  public long offset() {
    return offset;
  }

  /**
   * Returns the entry of a piece of work.
   *
   * @param key the key of the work
   * @return the entry, or empty if the work was never accepted or its entry was removed
   */
  public Optional<JournalEntry> find(WorkKey key) {
    return Optional.ofNullable(entries.get(key));
  }

  /**
   * Returns all entries.
   *
   * @return an unmodifiable view, in the order of acceptance
   */
  public Collection<JournalEntry> entries() {
    return Collections.unmodifiableCollection(entries.values());
  }

  /**
   * Returns whether an attempt was applied and is still open, so that its start may be ordered.
   *
   * @param attempt the attempt as it was appended
   * @return true only for the one attempt that was applied
   */
  public boolean isOpen(Attempt attempt) {
    return task(attempt, attempt.index())
        .flatMap(JournalTask::open)
        .filter(open -> open.attempt() == attempt.attempt() && open.owner().equals(attempt.owner()))
        .isPresent();
  }

  private Verdict applyNew(long at, JournalRecord record) {
    if (record instanceof Accepted accepted) {
      return accept(at, accepted);
    }
    JournalEntry entry = entries.get(new WorkKey(record.team(), record.requestId()));
    if (entry == null || entry.hasEnded()) {
      return Verdict.CONFLICT;
    }
    Verdict verdict = applyTo(entry, record);
    if (verdict == Verdict.APPLIED) {
      entry.recordChange(at);
      if (entry.hasEnded()) {
        ended.addLast(entry);
      }
    }
    return verdict;
  }

  private Verdict applyTo(JournalEntry entry, JournalRecord record) {
    if (record instanceof Attempt attempt) {
      return attempt(entry, attempt);
    }
    if (record instanceof AttemptVoid closed) {
      return closeAttempt(entry, closed);
    }
    if (record instanceof Ended end) {
      return end(entry, end);
    }
    return cancel(entry, (Cancelled) record);
  }

  private Verdict accept(long at, Accepted accepted) {
    WorkKey key = new WorkKey(accepted.team(), accepted.requestId());
    if (entries.containsKey(key)) {
      return Verdict.DUPLICATE;
    }
    if (accepted.tasks() < 1) {
      return Verdict.INVALID;
    }
    JournalEntry entry = new JournalEntry(accepted, at);
    entries.put(key, entry);
    if (!accepted.job()) {
      requests.addLast(entry);
    }
    return Verdict.APPLIED;
  }

  private Verdict attempt(JournalEntry entry, Attempt attempt) {
    JournalTask task = task(attempt, attempt.index()).orElse(null);
    if (task == null) {
      return Verdict.INVALID;
    }
    if (isOpen(attempt)) {
      return Verdict.DUPLICATE;
    }
    boolean canBegin = task.open().isEmpty() && task.outcome().isEmpty() && !entry.isCancelled();
    if (!canBegin || attempt.attempt() <= task.lastAttempt()) {
      return Verdict.CONFLICT;
    }
    task.begin(
        new OpenAttempt(attempt.attempt(), attempt.owner(), attempt.worker(), attempt.token()));
    return Verdict.APPLIED;
  }

  private Verdict closeAttempt(JournalEntry entry, AttemptVoid closed) {
    JournalTask task = task(closed, closed.index()).orElse(null);
    if (task == null || !hasOpenAttempt(task, closed.attempt())) {
      return Verdict.CONFLICT;
    }
    if (entry.isCancelled()) {
      task.end(Outcome.NOT_RUN, entry.detail());
    } else {
      task.close();
    }
    return Verdict.APPLIED;
  }

  private Verdict end(JournalEntry entry, Ended end) {
    JournalTask task = task(end, end.index()).orElse(null);
    Optional<Outcome> outcome = outcome(end.outcome());
    if (task == null || outcome.isEmpty()) {
      return Verdict.INVALID;
    }
    boolean neverAttempted = end.attempt() == 0 && task.open().isEmpty();
    if (task.outcome().isPresent() || !(neverAttempted || hasOpenAttempt(task, end.attempt()))) {
      return Verdict.CONFLICT;
    }
    boolean retry =
        entry.accepted().job()
            && entry.accepted().idempotent()
            && !entry.isCancelled()
            && !neverAttempted
            && outcome.get() != Outcome.COMPLETED
            && end.attempt() < MAX_ATTEMPTS;
    if (retry) {
      task.closeForRetry(outcome.get(), end.detail());
    } else {
      task.end(outcome.get(), end.detail());
    }
    return Verdict.APPLIED;
  }

  private static Verdict cancel(JournalEntry entry, Cancelled cancelled) {
    if (entry.isCancelled()) {
      return Verdict.DUPLICATE;
    }
    entry.cancel(cancelled.detail());
    for (JournalTask task : entry.tasks()) {
      if (task.open().isEmpty() && task.outcome().isEmpty()) {
        task.end(Outcome.NOT_RUN, cancelled.detail());
      }
    }
    return Verdict.APPLIED;
  }

  private Optional<JournalTask> task(JournalRecord record, int index) {
    return find(new WorkKey(record.team(), record.requestId()))
        .filter(entry -> index >= 0 && index < entry.tasks().size())
        .map(entry -> entry.tasks().get(index));
  }

  private static boolean hasOpenAttempt(JournalTask task, int attempt) {
    return task.open().filter(open -> open.attempt() == attempt).isPresent();
  }

  private static Optional<Outcome> outcome(String name) {
    for (Outcome outcome : Outcome.values()) {
      if (outcome.name().equals(name)) {
        return Optional.of(outcome);
      }
    }
    return Optional.empty();
  }

  private void removeExpired(long at) {
    while (!ended.isEmpty() && ended.peekFirst().lastOffset() < at - RETENTION_OFFSETS) {
      JournalEntry entry = ended.removeFirst();
      entries.remove(entry.key(), entry);
    }
    // A request that is refused after its acceptance never gets an end record in the journal.
    while (!requests.isEmpty() && isExpired(requests.peekFirst(), at)) {
      JournalEntry entry = requests.removeFirst();
      entries.remove(entry.key(), entry);
    }
  }

  private static boolean isExpired(JournalEntry entry, long at) {
    return entry.lastOffset() < at - RETENTION_OFFSETS && !entry.hasOpenAttempt();
  }
}
