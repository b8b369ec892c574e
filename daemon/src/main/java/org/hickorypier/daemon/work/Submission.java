package org.hickorypier.daemon.work;

import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.model.WorkItem;

/**
 * A piece of work with what its tasks are given. The bytes must not be changed.
 *
 * @param item the work as the decisions see it
 * @param payload what the caller sent for the tasks
 */
public record Submission(WorkItem item, byte[] payload) {

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
