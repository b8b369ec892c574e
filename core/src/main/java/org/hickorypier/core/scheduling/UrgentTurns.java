package org.hickorypier.core.scheduling;

/**
 * Bounds how long urgent work may hold all other work back.
 *
 * <p>Made for a flood of work marked urgent, by mistake or to get ahead. Urgent work goes first;
 * but if nothing else has started for the hold time while urgent work kept coming, each so many-th
 * place goes to other work until no urgent work waits. So the rest slows down and does not stop.
 * Not thread safe.
 */
final class UrgentTurns {

  private static final long NOT_HELD = Long.MIN_VALUE;

  private final long holdMillis;
  private final int turn;
  private long heldSinceMillis = NOT_HELD;
  private int urgentInRow;

  UrgentTurns(long holdMillis, int turn) {
    this.holdMillis = holdMillis;
    this.turn = turn;
  }

  boolean isTurnOfOthers(long now) {
    if (heldSinceMillis == NOT_HELD) {
      heldSinceMillis = now;
    }
    return isOverdue(now) && urgentInRow >= turn - 1;
  }

  /** Tells whether urgent work has held other work back for the hold time. */
  boolean isOverdue(long now) {
    return heldSinceMillis != NOT_HELD && now - heldSinceMillis >= holdMillis;
  }

  void started(boolean urgent) {
    urgentInRow = urgent ? urgentInRow + 1 : 0;
  }

  /** Notes that no urgent work waits, so none holds other work back. */
  void noneWaits() {
    heldSinceMillis = NOT_HELD;
    urgentInRow = 0;
  }
}
