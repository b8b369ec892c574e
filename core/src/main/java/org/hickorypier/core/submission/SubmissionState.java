package org.hickorypier.core.submission;

/** What callers are told of a submission. */
public enum SubmissionState {
  /** Accepted; no task has started. */
  QUEUED,
  /** Some task has started. */
  RUNNING,
  /** All tasks have ended well. */
  COMPLETED,
  /** A task failed as often as the queue allows. */
  FAILED,
  /** Its caller cancelled it. */
  CANCELLED;

  /**
   * Tells whether the state never changes again.
   *
   * @return true for the three end states
   */
  public boolean isTerminal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
