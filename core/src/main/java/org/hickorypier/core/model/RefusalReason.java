package org.hickorypier.core.model;

/** Why work is not accepted, or is abandoned while it is queued. */
public enum RefusalReason {
  /** A task is larger than any worker; a retry cannot succeed. */
  NEVER_FITS,
  /** The team's queue for this class is full. */
  QUEUE_FULL,
  /** The estimated wait exceeds the deadline. */
  DEADLINE_TOO_NEAR,
  /** The deadline passed in the queue before capacity became available. */
  DEADLINE_PASSED,
  /** The team's upper limit is zero. */
  OVER_LIMIT,
  /** The instance is shutting down. */
  SHUTTING_DOWN,
  /** The instance cannot prove that its configuration is recent. */
  NOT_READY,
  /** The log service does not answer, so at-most-once execution cannot be guaranteed. */
  LOG_SILENT,
  /** The team's key was withdrawn while the work was queued. */
  KEY_WITHDRAWN,
  /** The caller or an operator cancelled it. */
  CANCELLED,
  /** Its tasks failed on several workers. */
  FAILS_EVERYWHERE,
  /** The instance that its home forwarded it to has no capacity; it returns to its home's queue. */
  NO_ROOM
}
