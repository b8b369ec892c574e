package org.hickorypier.measure;

import java.util.List;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.scheduling.PlacedTask;

/** What a measurement drives: the scheduler, or a plain baseline. */
interface Decider {

  /**
   * Offers an item.
   *
   * @return true if it was accepted
   */
  boolean submit(WorkItem item, long now);

  /** Starts what can start now. */
  List<PlacedTask> place(long now);

  /** Frees the room of a task. */
  void ended(TaskId taskId, long now);

  /** Gives up what is too late, and returns how many tasks that were. */
  int expire(long now);
}
