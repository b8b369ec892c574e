package org.hickorypier.daemon.caller;

import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.RefusalReason;

/** The reasons for which a caller's request is denied, each with its HTTP status. */
public enum DenialKind {
  /** The key is unknown or withdrawn. */
  BAD_KEY(401),
  /** The key belongs to another team. */
  FOREIGN_TEAM(403),
  /** The job does not exist. */
  NOT_FOUND(404),
  /** The work was cancelled, or conflicts with other work under the same id. */
  CONFLICT(409),
  /** It is not known yet whether the work was accepted. */
  UNDECIDED(504),
  /** The work can never run as declared. */
  IMPOSSIBLE(422),
  /** The team has reached its limit; other teams may still have capacity. */
  TEAM_BUSY(429),
  /** The cell is full, or this instance cannot accept work now. */
  UNAVAILABLE(503);

  private final int status;

  DenialKind(int status) {
    this.status = status;
  }

  /**
   * Returns the HTTP status.
   *
   * @return the status code
   */
  public int status() {
    return status;
  }

  /**
   * Returns the outcome of a request that is denied for this reason. It is unknown if the instance
   * accepts no work now, because that instance cannot know whether an earlier attempt of the
   * request ran elsewhere.
   *
   * @return the outcome
   */
  public Outcome outcome() {
    return this == UNDECIDED || this == UNAVAILABLE ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  static DenialKind of(RefusalReason reason) {
    return switch (reason) {
      case NEVER_FITS, FAILS_EVERYWHERE -> IMPOSSIBLE;
      case QUEUE_FULL, OVER_LIMIT -> TEAM_BUSY;
      case KEY_WITHDRAWN -> BAD_KEY;
      case CANCELLED -> CONFLICT;
      case DEADLINE_TOO_NEAR, DEADLINE_PASSED, SHUTTING_DOWN, NOT_READY, LOG_SILENT, NO_ROOM ->
          UNAVAILABLE;
    };
  }
}
