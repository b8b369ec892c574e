package org.hickorypier.core.scheduling;

/**
 * Bounds how long urgent work may hold all other work back.
 *
 * <p>Made for a flood of work marked urgent, by mistake or to get ahead. Urgent work goes first;
 * but if nothing else has started for the hold time while urgent work kept coming, each so many-th
 * place goes to other work until no urgent work waits. So the rest slows down and does not stop.
 * Not thread safe.
 */
final class UrgentPriorityLimit {

  private static final long NOT_BLOCKING = Long.MIN_VALUE;

  private final long maxBlockingMillis;
  private final int cycleLength;
  private long blockingSinceMillis = NOT_BLOCKING;
  private int consecutiveUrgentStarts;

  UrgentPriorityLimit(long holdMillis, int turn) {
    this.maxBlockingMillis = holdMillis;
    this.cycleLength = turn;
  }

  boolean isOtherWorkNext(long now) {
    if (blockingSinceMillis == NOT_BLOCKING) {
      blockingSinceMillis = now;
    }
    return isOtherWorkOverdue(now) && consecutiveUrgentStarts >= cycleLength - 1;
  }

  /** Tells whether urgent work has held other work back for the hold time. */
  boolean isOtherWorkOverdue(long now) {
    return blockingSinceMillis != NOT_BLOCKING && now - blockingSinceMillis >= maxBlockingMillis;
  }

  void recordStart(boolean urgent) {
    consecutiveUrgentStarts = urgent ? consecutiveUrgentStarts + 1 : 0;
  }

  /** Notes that no urgent work waits, so none holds other work back. */
  void recordNoUrgentWaiting() {
    blockingSinceMillis = NOT_BLOCKING;
    consecutiveUrgentStarts = 0;
  }
}
