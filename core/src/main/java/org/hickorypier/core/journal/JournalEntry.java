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
 * <p>Confined to the control thread; modified only by {@link Journal}.
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
   * Returns the key of the work.
   *
   * @return the key
   */
  public WorkKey key() {
    return key;
  }

  /**
   * Returns the record by which the work was accepted.
   *
   * @return the record
   */
  public Accepted accepted() {
    return accepted;
  }

  /**
   * Returns the offset at which the work was accepted.
   *
   * @return the offset
   */
  public long offset() {
    return offset;
  }

  /**
   * Returns the tasks of the work, by index.
   *
   * @return an unmodifiable view
   */
  public List<JournalTask> tasks() {
    return Collections.unmodifiableList(tasks);
  }

  /**
   * Returns whether the work was cancelled.
   *
   * @return true after a cancellation was applied
   */
  public boolean isCancelled() {
    return cancelled;
  }

  /**
   * Returns whether every task has ended.
   *
   * @return true if no task runs or will run
   */
  public boolean hasEnded() {
    return tasks.stream().allMatch(task -> task.outcome().isPresent());
  }

  /**
   * Returns whether an attempt of any task may be running.
   *
   * @return true if an attempt is open
   */
  public boolean hasOpenAttempt() {
    return tasks.stream().anyMatch(task -> task.open().isPresent());
  }

  /**
   * Returns the outcome of the whole work, which is the worst outcome of its tasks.
   *
   * @return the outcome, or empty if the work has not ended
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
   * Returns the first reason why the work did not complete.
   *
   * @return a sentence, empty if there is no reason
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
