package org.hickorypier.core.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * The queue of one team and class, ordered by the time at which callers first submitted the work,
 * with its drain rate.
 *
 * <p>Under demand above the capacity some callers have to retry. In order of arrival each retry
 * would join the tail, and the oldest callers would never be served.
 *
 * <p>Invariant: {@code waitingTasks} is the sum over the items. Not thread-safe.
 */
final class ClassQueue {

  /** The window covers tens of starts of a busy team and still follows a change in load. */
  private static final double RATE_WINDOW_MILLIS = 5_000;

  /**
   * The weight of a new run time; averaging over some 50 tasks keeps the mean steady when run times
   * differ.
   */
  private static final double RUN_TIME_SMOOTHING = 0.02;

  /**
   * The weight of a new wait; averaging over some 10 starts limits the effect of a single large
   * item.
   */
  private static final double WAIT_SMOOTHING = 0.1;

  private static final double MILLIS_PER_SECOND = 1_000;

  private static final Comparator<QueuedItem> BY_FIRST_TRY =
      Comparator.comparingLong((QueuedItem queued) -> queued.item().firstTriedMillis())
          .thenComparingLong(QueuedItem::arrivalNumber);

  private final TreeSet<QueuedItem> items = new TreeSet<>(BY_FIRST_TRY);
  private final DecayedRate starts = new DecayedRate(RATE_WINDOW_MILLIS);
  private int waitingTasks;
  private int runningTasks;
  private int completedTasks;
  private double meanRunMillis;
  private double recentWaitMillis;

  Collection<QueuedItem> items() {
    return items;
  }

  QueuedItem head() {
    return items.isEmpty() ? null : items.first();
  }

  boolean hasHeadFailedPlacement(long now) {
    QueuedItem head = head();
    return head != null && head.firstFailedPlacementMillis() <= now;
  }

  int size() {
    return items.size();
  }

  int waitingTasks() {
    return waitingTasks;
  }

  /** Returns how many tasks wait for callers who first submitted at the given time or earlier. */
  int waitingTasksFirstTriedBy(long firstTriedMillis) {
    if (items.isEmpty() || items.last().item().firstTriedMillis() <= firstTriedMillis) {
      return waitingTasks;
    }
    int ahead = 0;
    for (QueuedItem queued : items) {
      if (queued.item().firstTriedMillis() > firstTriedMillis) {
        return ahead;
      }
      ahead += queued.waitingTasks();
    }
    return ahead;
  }

  void add(QueuedItem queued) {
    items.add(queued);
    waitingTasks += queued.waitingTasks();
    if (completedTasks == 0) {
      meanRunMillis = queued.item().expectedRunMillis();
    }
  }

  void remove(QueuedItem queued) {
    items.remove(queued);
    waitingTasks -= queued.waitingTasks();
  }

  /**
   * Counts the start of a task.
   *
   * @param waitedMillis how long the item waited, in milliseconds
   * @param failedPlacement whether an earlier placement of the item failed. Only such a start shows
   *     how fast a full fleet serves this queue; others show how fast an empty fleet fills up
   * @param now the time in milliseconds
   */
  void recordStart(long waitedMillis, boolean failedPlacement, long now) {
    waitingTasks--;
    if (failedPlacement) {
      starts.count(now);
    }
    recentWaitMillis += WAIT_SMOOTHING * (waitedMillis - recentWaitMillis);
  }

  /** Returns the mean wait in milliseconds of the items that started most recently. */
  double recentWaitMillis() {
    return recentWaitMillis;
  }

  void incrementRunning() {
    runningTasks++;
  }

  void decrementRunning() {
    runningTasks--;
  }

  void recordCompletion(long runMillis) {
    completedTasks++;
    meanRunMillis +=
        Math.max(RUN_TIME_SMOOTHING, 1.0 / completedTasks) * (runMillis - meanRunMillis);
  }

  /**
   * Returns the rate at which tasks of this queue start, per second: the recent rate of starts, or
   * the rate at which its running tasks are expected to end, whichever is higher.
   */
  double drainRatePerSecond(long now) {
    double freed = runningTasks / Math.max(1, meanRunMillis) * MILLIS_PER_SECOND;
    return Math.max(starts.perSecond(now), freed);
  }
}
