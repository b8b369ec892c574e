package org.hickorypier.core.scheduling;

/**
 * Limits how long urgent work may block all other work.
 *
 * <p>Work may be marked as urgent in large numbers, by mistake or to gain priority. Urgent work
 * goes first. If urgent work keeps arriving and nothing else has started for the maximum blocking
 * time, one start in each cycle goes to other work until no urgent work waits. So other work slows
 * down but does not stop.
 *
 * <p>Not thread-safe.
 */
final class UrgentPriorityLimit {

  private static final long NOT_BLOCKING = Long.MIN_VALUE;

  private final long maxBlockingMillis;
  private final int cycleLength;
  private long blockingSinceMillis = NOT_BLOCKING;
  private int consecutiveUrgentStarts;

  UrgentPriorityLimit(long maxBlockingMillis, int cycleLength) {
    this.maxBlockingMillis = maxBlockingMillis;
    this.cycleLength = cycleLength;
  }

  boolean isOtherWorkNext(long now) {
    if (blockingSinceMillis == NOT_BLOCKING) {
      blockingSinceMillis = now;
    }
    return isOtherWorkOverdue(now) && consecutiveUrgentStarts >= cycleLength - 1;
  }

  /** Tells whether urgent work has blocked other work for the maximum blocking time. */
  boolean isOtherWorkOverdue(long now) {
    return blockingSinceMillis != NOT_BLOCKING && now - blockingSinceMillis >= maxBlockingMillis;
  }

  void recordStart(boolean urgent) {
    consecutiveUrgentStarts = urgent ? consecutiveUrgentStarts + 1 : 0;
  }

  /** Records that no urgent work waits, so that none blocks other work. */
  void recordNoUrgentWaiting() {
    blockingSinceMillis = NOT_BLOCKING;
    consecutiveUrgentStarts = 0;
  }
}
