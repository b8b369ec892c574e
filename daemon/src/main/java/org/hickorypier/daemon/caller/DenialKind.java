package org.hickorypier.daemon.caller;

import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.RefusalReason;

/** Why a caller's request is not taken, with the HTTP status that says so. */
public enum DenialKind {
  /** The key is unknown or withdrawn. */
  BAD_KEY(401),
  /** The key belongs to another team. */
  FOREIGN_TEAM(403),
  /** There is no such job. */
  NOT_FOUND(404),
  /** It was cancelled, or clashes with other work under the same id. */
  CONFLICT(409),
  /** Nobody can tell yet whether it was taken. */
  UNDECIDED(504),
  /** It can never run as declared. */
  IMPOSSIBLE(422),
  /** The team has its fill; others may not. */
  TEAM_BUSY(429),
  /** The cell is full, or this instance cannot take work now. */
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
   * Returns what a denial of this kind says of the request. An instance that takes nothing now does
   * not know whether an earlier try of it has run elsewhere.
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
