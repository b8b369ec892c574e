package org.hickorypier.daemon.job;

import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkKey;

/** What the jobs need to know of the other instances. Called on the control thread. */
public interface JobScope {

  /**
   * Tells whether this instance is home of the work.
   *
   * @param key the work
   * @return true if it is the wanted instance in the present view
   */
  boolean isHome(WorkKey key);

  /**
   * Tells whether this instance may start work.
   *
   * @return false while it is not ready or shutting down
   */
  boolean isReady();

  /**
   * Tells whether the owner of an attempt still looks live; its own attempts count as live.
   *
   * @param owner instance and incarnation
   * @return false if it is gone
   */
  boolean isLive(String owner);

  /**
   * Stops a task, wherever it runs. Idempotent.
   *
   * @param taskId the task
   */
  void stop(TaskId taskId);
}
