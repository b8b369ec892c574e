package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.WorkItem;

/**
 * Estimates how long a new item would wait, as the tasks ahead of it divided by the rate at which
 * they start.
 *
 * <p>It serves demand of twice the capacity and more. It keeps callers from waiting until their
 * deadline in a queue that cannot reach them and then retrying with a second request. The estimate
 * is 0 while there is room, since an idle fleet has no start rate and the first burst must not be
 * refused for that. The size of the item, if a placement was tried recently, or the head of its
 * queue shows whether there is room. The size alone would admit work of new sizes to queues that
 * make no progress.
 *
 * <p>Not thread-safe.
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

  /**
   * Returns the estimated wait in milliseconds, or 0 if there is room or the rate is not known yet.
   */
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
      // Recent waits of items that joined at the tail do not apply to a position further ahead.
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
