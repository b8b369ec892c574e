package org.hickorypier.daemon.work;

import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.model.WorkItem;

/**
 * A piece of work with what its tasks are given. The bytes must not be changed.
 *
 * @param item the work as the decisions see it
 * @param payload what the caller sent for the tasks
 * @param mayHaveRun whether an earlier try of the same work may have run, so that a refusal would
 *     not be certain
 */
public record Submission(WorkItem item, byte[] payload, boolean mayHaveRun) {

  /**
   * Creates one of which no earlier try is known.
   *
   * @param item the work as the decisions see it
   * @param payload what the caller sent for the tasks
   */
  public Submission(WorkItem item, byte[] payload) {
    this(item, payload, false);
  }

  /**
   * Returns the same work, of which an earlier try may have run.
   *
   * @return the copy
   */
  public Submission withPossibleEarlierRun() {
    return new Submission(item, payload, true);
  }

  /**
   * Returns the same work with another time of its caller's first try.
   *
   * @param millis the time
   * @return the copy
   */
  public Submission withFirstTriedMillis(long millis) {
    return new Submission(item.withFirstTriedMillis(millis), payload, mayHaveRun);
  }

  /**
   * Tells whether this is one attempt of journaled work. The journal then decides on further
   * attempts and remembers the outcome.
   *
   * @return true if the key is that of an attempt
   */
  public boolean isJournaled() {
    return AttemptKey.parse(item.key()).isPresent();
  }
}
