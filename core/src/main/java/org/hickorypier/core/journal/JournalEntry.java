package org.hickorypier.core.journal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.wire.record.JournalRecord.Accepted;

/**
 * Accepted work with its tasks.
 *
 * <p>Belongs to the control thread; changed only by {@link Journal}.
 */
public final class JournalEntry {

  private final WorkKey key;
  private final Accepted accepted;
  private final long offset;
  private final List<JournalTask> tasks = new ArrayList<>();
  private boolean cancelled;
  private String cancelDetail = "";
  private long lastOffset;

  JournalEntry(Accepted accepted, long offset) {
    this.key = new WorkKey(accepted.team(), accepted.requestId());
    this.accepted = accepted;
    this.offset = offset;
    this.lastOffset = offset;
    for (int index = 0; index < accepted.tasks(); index++) {
      tasks.add(new JournalTask());
    }
  }

  /**
   * Returns the identity of the work.
   *
   * @return the key
   */
  public WorkKey key() {
    return key;
  }

  /**
   * Returns the record with which it was accepted.
   *
   * @return the record
   */
  public Accepted accepted() {
    return accepted;
  }

  /**
   * Returns the offset at which it was accepted.
   *
   * @return the offset
   */
  public long offset() {
    return offset;
  }

  /**
   * Returns its tasks, by their index.
   *
   * @return a view
   */
  public List<JournalTask> tasks() {
    return Collections.unmodifiableList(tasks);
  }

  /**
   * Tells whether it was cancelled.
   *
   * @return true after a cancellation was folded
   */
  public boolean isCancelled() {
    return cancelled;
  }

  /**
   * Tells whether every task has ended.
   *
   * @return true if nothing runs and nothing will
   */
  public boolean hasEnded() {
    return tasks.stream().allMatch(task -> task.outcome().isPresent());
  }

  /**
   * Tells whether an attempt of some task may be running.
   *
   * @return true if one is open
   */
  public boolean hasOpenAttempt() {
    return tasks.stream().anyMatch(task -> task.open().isPresent());
  }

  /**
   * Returns the outcome of the whole work: the worst of its tasks'.
   *
   * @return the outcome, or empty if it has not ended
   */
  public Optional<Outcome> outcome() {
    if (!hasEnded()) {
      return Optional.empty();
    }
    for (Outcome worst : List.of(Outcome.UNKNOWN, Outcome.FAILED, Outcome.NOT_RUN)) {
      if (tasks.stream().anyMatch(task -> task.outcome().orElseThrow() == worst)) {
        return Optional.of(worst);
      }
    }
    return Optional.of(Outcome.COMPLETED);
  }

  /**
   * Returns the first sentence that says why the work did not complete.
   *
   * @return the sentence, empty if there is nothing to say
   */
  public String detail() {
    return tasks.stream()
        .map(JournalTask::detail)
        .filter(text -> !text.isEmpty())
        .findFirst()
        .orElse(cancelDetail);
  }

  void cancel(String sentence) {
    cancelled = true;
    cancelDetail = sentence;
  }

  void recordChange(long at) {
    lastOffset = at;
  }

  long lastOffset() {
    return lastOffset;
  }
}
