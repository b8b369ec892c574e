package org.hickorypier.core.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * The queue of one team and class, in the order in which callers first asked, and how fast it
 * drains.
 *
 * <p>Load: under a demand above the capacity some callers have to come back. Harm prevented: in
 * order of arrival each try would stand at the tail again, and the oldest would never be served.
 *
 * <p>Invariant: the waiting tasks are the sum over the items. Not thread safe.
 */
final class ClassQueue {

  /** Long enough to hold tens of starts of a busy team, short enough to follow a shift of load. */
  private static final double RATE_WINDOW_MILLIS = 5_000;

  /** The weight of a new run time; some fifty tasks, so that the mean of unlike runs is steady. */
  private static final double RUN_TIME_SMOOTHING = 0.02;

  /** The weight of a new wait; some ten starts, so that a single large item says little. */
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

  /** Returns how many tasks wait for callers who first asked at a time or before. */
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
   * @param waitedMillis how long the item waited
   * @param inVain whether it had been tried in vain; only then does the start tell how fast a full
   *     fleet gets to this queue, and not how fast an empty one is filled
   * @param now the time
   */
  void recordStart(long waitedMillis, boolean inVain, long now) {
    waitingTasks--;
    if (inVain) {
      starts.count(now);
    }
    recentWaitMillis += WAIT_SMOOTHING * (waitedMillis - recentWaitMillis);
  }

  /** Returns the mean wait of the items that started last. */
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
   * Returns the tasks a second that this queue gets started: what it got lately, or what its
   * running tasks will free, if that is more.
   */
  double drainRatePerSecond(long now) {
    double freed = runningTasks / Math.max(1, meanRunMillis) * MILLIS_PER_SECOND;
    return Math.max(starts.perSecond(now), freed);
  }
}
