package org.hickorypier.daemon.work;

import org.hickorypier.core.model.TaskId;

/** Hears how tasks go. Called on the control thread. */
public interface TaskListener {

  /**
   * The worker has confirmed that the task runs, or ran.
   *
   * @param taskId the task
   */
  void onStarted(TaskId taskId);

  /**
   * The task's fate is settled; nothing more will be heard of it.
   *
   * @param taskId the task
   * @param end how it ended
   */
  void onEnded(TaskId taskId, TaskReport end);
}
