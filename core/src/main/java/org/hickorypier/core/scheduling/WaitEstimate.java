package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.WorkItem;

/**
 * Estimates how long a new item would wait: the tasks ahead of it over the rate at which they
 * start.
 *
 * <p>Made for a demand of twice the capacity and more. It prevents that callers wait to their
 * deadline in a queue that cannot reach them, and then come back with a second request. While there
 * is room, nothing is estimated: an idle fleet shows no rate, and the first burst must not be
 * refused for that. Whether there is room shows in the size of the item, if it was tried lately, or
 * in the head of its queue; the size alone let work of new sizes into queues that stood still.
 *
 * <p>Not thread safe.
 */
final class WaitEstimate {

  private static final double RATE_WINDOW_MILLIS = 5_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final DecayedRate taskEndRate = new DecayedRate(RATE_WINDOW_MILLIS);
  private final FairOrder order;
  private final ShapeTable shapes;

  WaitEstimate(FairOrder order, ShapeTable shapes) {
    this.order = order;
    this.shapes = shapes;
  }

  void recordTaskEnd(long now) {
    taskEndRate.count(now);
  }

  /** Returns the estimated wait in milliseconds, 0 if there is room or nothing is known yet. */
  long estimateMillis(WorkItem item, TeamState team, long now) {
    ClassQueue queue = team.queue(item.workClass());
    boolean full =
        shapes.isBlocked(item.resources(), item.workClass()) || queue.hasHeadFailedPlacement(now);
    if (!full && team.freePermits() > 0) {
      return 0;
    }
    if (queue.waitingTasks() > 0) {
      int ahead = queue.waitingTasksFirstTriedBy(item.firstTriedMillis());
      long byRate = drainMillis(ahead + item.tasks(), queue.drainRatePerSecond(now));
      // What others waited lately, from the tail, says nothing of a place further ahead.
      boolean atTail = ahead == queue.waitingTasks();
      return atTail ? Math.max(byRate, (long) queue.recentWaitMillis()) : byRate;
    }
    if (!full) {
      return drainMillis(1, team.drainRatePerSecond(now));
    }
    return drainMillis(order.waitingTeamCount() + item.tasks(), taskEndRate.perSecond(now));
  }

  private static long drainMillis(int tasks, double perSecond) {
    return perSecond == 0 ? 0 : (long) (tasks / perSecond * MILLIS_PER_SECOND);
  }
}
