package org.hickorypier.core.scheduling;

import java.util.List;
import java.util.Optional;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.model.WorkerDescription;

/**
 * The scheduler of one instance: it decides which work to admit, in which order to start it, and on
 * which workers to place it.
 *
 * <p>Invariants: no worker's reservations exceed its capacity or slots; a team never has more tasks
 * placed here than its permits; every submitted item is queued, placed, or returned as given up,
 * and never in two of these states.
 *
 * <p>Confined to the control thread. Callers pass in the time as milliseconds of a monotonic clock.
 */
public interface Scheduler {

  /**
   * Admits an item to its queue or refuses it at once.
   *
   * @param item the work
   * @param now the time
   * @return empty if the item is queued or already known, else the refusal, which is final
   */
  Optional<Refusal> submit(WorkItem item, long now);

  /**
   * Places as many queued items as fit and reserves resources for their tasks.
   *
   * @param now the time
   * @return the placements; the end of each task must later be reported to {@link #taskEnded}
   */
  List<Placement> place(long now);

  /**
   * Gives up queued items that can no longer start before their deadline, or whose tasks have
   * failed on too many workers.
   *
   * @param now the time
   * @return the given-up items, with their refusals
   */
  List<GivenUp> expire(long now);

  /**
   * Removes a queued item.
   *
   * @param key the item's key
   * @return true if the item was queued and is removed, false if it is not queued here
   */
  boolean cancelQueued(WorkKey key);

  /**
   * Releases the reservation of a placed task. An unknown task is ignored.
   *
   * @param taskId the task
   * @param end how it ended
   * @param now the time
   */
  void taskEnded(TaskId taskId, TaskEnd end, long now);

  /**
   * Reserves resources for a task that already runs on a worker, found there after a takeover. The
   * call has no effect if the worker is unknown or the task is already placed.
   *
   * @param taskId the task
   * @param worker the worker's name
   * @param workClass the task's class
   * @param reserved the resources to reserve
   * @param now the time
   */
  void adopt(TaskId taskId, String worker, WorkClass workClass, Resources reserved, long now);

  /**
   * Adds a worker, or changes its description or whether it accepts new tasks. Tasks placed on it
   * stay.
   *
   * @param worker the worker
   * @param open whether the worker accepts new tasks; false while it drains, leaves or is outside
   *     the control of this instance
   */
  void putWorker(WorkerDescription worker, boolean open);

  /**
   * Removes a worker and the tasks placed on it.
   *
   * @param name the worker's name
   * @return the ids of the tasks that were placed on it, empty if the worker is unknown
   */
  List<TaskId> removeWorker(String name);

  /**
   * Sets a team's weight in the fair order.
   *
   * @param team the team
   * @param share the weight, more than 0
   * @throws IllegalArgumentException if the share is not more than 0
   */
  void putShare(String team, double share);

  /**
   * Sets how many tasks a team may have placed at this instance.
   *
   * @param team the team
   * @param permits the number of tasks; 0 for an unknown team
   */
  void putPermits(String team, int permits);

  /**
   * Sets the usage of a team at the other instances, as reported by their digests.
   *
   * @param team the team
   * @param resources the sum over the other instances
   */
  void putRemoteUsage(String team, Resources resources);

  /**
   * Records a worker's report of the actual usage of a task, which lags behind the task.
   *
   * @param taskId the task
   * @param used the usage when the report was made
   * @param now the time
   */
  void reportUsage(TaskId taskId, Resources used, long now);

  /**
   * Returns how many tasks of a team wait here, which is how many more permits it could use.
   *
   * @param team the team
   * @return the number of waiting tasks
   */
  int waitingTasks(String team);

  /**
   * Returns the queued items, for the operators' queries.
   *
   * @return a copy
   */
  List<WorkItem> queued();

  /**
   * Returns the placed tasks, for the operators' queries.
   *
   * @return a copy
   */
  List<PlacedTask> placed();

  /**
   * Returns a snapshot of each worker, for the operators' queries and the digest.
   *
   * @return a copy
   */
  List<WorkerSnapshot> workers();

  /**
   * Explains in one sentence why a queued item waits.
   *
   * @param key the item's key
   * @param now the time
   * @return the reason, or empty if the item is not queued
   */
  Optional<String> explain(WorkKey key, long now);
}
