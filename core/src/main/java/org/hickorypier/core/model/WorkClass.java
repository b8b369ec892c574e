package org.hickorypier.core.model;

/** The classes of work, each with its own policy for queueing and placement. */
public enum WorkClass {
  /** A short request with precedence over all other work; it must start within seconds. */
  URGENT,
  /** A synchronous request whose caller waits for the answer. */
  REQUEST,
  /** A long-running service, spread over racks and data centres. */
  SERVICE,
  /** A job whose tasks start together or not at all. */
  GANG,
  /** A job of independent tasks, packed densely. */
  BATCH;

  /**
   * Tells whether a caller waits on an open connection for the answer.
   *
   * @return true for requests, false for jobs
   */
  public boolean isSynchronous() {
    return this == URGENT || this == REQUEST;
  }
}
