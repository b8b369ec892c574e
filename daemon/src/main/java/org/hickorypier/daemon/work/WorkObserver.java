package org.hickorypier.daemon.work;

import org.hickorypier.core.model.WorkItem;

/** Hears of the steps of work, for metrics and the operators' record of refusals. */
public interface WorkObserver {

  /**
   * The work waits in its queue.
   *
   * @param item the work
   */
  default void onQueued(WorkItem item) {}

  /**
   * A task of the work was confirmed by its worker for the first time.
   *
   * @param item the work
   * @param waitedMillis the time since it was submitted
   */
  default void onStarted(WorkItem item, long waitedMillis) {}

  /**
   * The work has its final answer.
   *
   * @param item the work
   * @param result the answer
   * @param totalMillis the time since it was submitted
   */
  default void onFinished(WorkItem item, WorkResult result, long totalMillis) {}

  /**
   * Returns an observer that tells this one and then another.
   *
   * @param next the other
   * @return both in one
   */
  default WorkObserver andThen(WorkObserver next) {
    WorkObserver first = this;
    return new WorkObserver() {
      @Override
      public void onQueued(WorkItem item) {
        first.onQueued(item);
        next.onQueued(item);
      }

      @Override
      public void onStarted(WorkItem item, long waitedMillis) {
        first.onStarted(item, waitedMillis);
        next.onStarted(item, waitedMillis);
      }

      @Override
      public void onFinished(WorkItem item, WorkResult result, long totalMillis) {
        first.onFinished(item, result, totalMillis);
        next.onFinished(item, result, totalMillis);
      }
    };
  }
}
