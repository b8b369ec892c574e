package org.hickorypier.daemon.work;

import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.model.WorkItem;

/**
 * A work item with the input of its tasks. The bytes must not be changed.
 *
 * @param item the work as the scheduler sees it
 * @param payload the input of the tasks, as sent by the caller
 * @param mayHaveRun whether an earlier try of the same work may have run, so that a refusal does
 *     not prove that the work was not run
 */
public record Submission(WorkItem item, byte[] payload, boolean mayHaveRun) {

  /**
   * Creates a submission without a known earlier try.
   *
   * @param item the work as the scheduler sees it
   * @param payload the input of the tasks, as sent by the caller
   */
  public Submission(WorkItem item, byte[] payload) {
    this(item, payload, false);
  }

  /**
   * Returns a copy that is marked as possibly run by an earlier try.
   *
   * @return the copy
   */
  public Submission withPossibleEarlierRun() {
    return new Submission(item, payload, true);
  }

  /**
   * Returns a copy with another time of the caller's first try.
   *
   * @param millis the time in milliseconds
   * @return the copy
   */
  public Submission withFirstTriedMillis(long millis) {
    return new Submission(item.withFirstTriedMillis(millis), payload, mayHaveRun);
  }

  /**
   * Returns whether this is an attempt of journaled work. The journal then decides on further
   * attempts and records the outcome.
   *
   * @return true if the key is that of an attempt
   */
  public boolean isJournaled() {
    return AttemptKey.parse(item.key()).isPresent();
  }
}
