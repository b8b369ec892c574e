package org.hickorypier.daemon.work;

import org.hickorypier.core.model.WorkItem;

/** Observes the progress of work, for metrics and the operators' record of refusals. */
public interface WorkObserver {

  /**
   * Called when the work enters its queue.
   *
   * @param item the work
   */
  default void onQueued(WorkItem item) {}

  /**
   * Called when a worker confirms the start of the first task of the work.
   *
   * @param item the work
   * @param waitedMillis the time since its submission
   */
  default void onStarted(WorkItem item, long waitedMillis) {}

  /**
   * Called when the work has its final answer.
   *
   * @param item the work
   * @param result the answer
   * @param totalMillis the time since its submission
   */
  default void onFinished(WorkItem item, WorkResult result, long totalMillis) {}

  /**
   * Returns an observer that notifies this one and then another.
   *
   * @param next the other observer
   * @return the combined observer
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
