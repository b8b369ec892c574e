package org.hickorypier.core.submission;

/** The state of a submission as reported to callers. */
public enum SubmissionState {
  /** Accepted; no task has started. */
  QUEUED,
  /** At least one task has started. */
  RUNNING,
  /** All tasks completed. */
  COMPLETED,
  /** A task used up the attempts that the queue allows. */
  FAILED,
  /** Its caller cancelled it. */
  CANCELLED;

  /**
   * Tells whether the state is final.
   *
   * @return true for the three terminal states
   */
  public boolean isTerminal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
