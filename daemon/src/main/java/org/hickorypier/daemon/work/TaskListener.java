package org.hickorypier.daemon.work;

import org.hickorypier.core.model.TaskId;

/** Receives starts and ends of tasks. Called on the control thread. */
public interface TaskListener {

  /**
   * Called when the worker confirms that the task runs, or ran.
   *
   * @param taskId the task
   */
  void onStarted(TaskId taskId);

  /**
   * Called when the task's end is known; no further call follows for the task.
   *
   * @param taskId the task
   * @param end the report on its end
   */
  void onEnded(TaskId taskId, TaskReport end);
}
