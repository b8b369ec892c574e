package org.hickorypier.core.model;

/** Why a piece of work is not taken, or is given up on while it waits. */
public enum RefusalReason {
  /** A task is larger than any worker; trying again is of no use. */
  NEVER_FITS,
  /** The team's queue for this class is full. */
  QUEUE_FULL,
  /** The estimated wait goes past the deadline. */
  DEADLINE_TOO_NEAR,
  /** It waited and its deadline passed before a place came free. */
  DEADLINE_PASSED,
  /** The team's upper limit is zero. */
  OVER_LIMIT,
  /** The instance is shutting down. */
  SHUTTING_DOWN,
  /** The instance cannot prove that its configuration is recent. */
  NOT_READY,
  /** The platform's log does not answer, so that work cannot be run at most once. */
  LOG_SILENT,
  /** The team's key was withdrawn while the work waited. */
  KEY_WITHDRAWN,
  /** The caller or an operator cancelled it. */
  CANCELLED,
  /** Its tasks failed on several workers. */
  FAILS_EVERYWHERE,
  /** The instance that its home sent it to has no room now; it goes back and waits at home. */
  NO_ROOM
}
