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
 * The decisions of one instance: which work to admit, in which order to take it, and where to put
 * it.
 *
 * <p>Invariants: no worker's reservations exceed its capacity or slots; a team never has more tasks
 * placed here than its permits; every submitted item is queued, placed, or returned as given up on,
 * and never in two of these.
 *
 * <p>Not thread safe: it belongs to the one control thread. Time is passed in, as milliseconds of a
 * monotonic clock.
 */
public interface Scheduler {

  /**
   * Admits an item to its queue or refuses it at once.
   *
   * @param item the work
   * @param now the time
   * @return empty if it is queued, else the final answer
   */
  Optional<Refusal> submit(WorkItem item, long now);

  /**
   * Places as many queued items as fit now and reserves their room.
   *
   * @param now the time
   * @return the placements; each of their tasks must later be reported to {@link #taskEnded}
   */
  List<Placement> place(long now);

  /**
   * Gives up on queued items that can no longer start in time.
   *
   * @param now the time
   * @return the items given up on, with their final answers
   */
  List<GivenUp> expire(long now);

  /**
   * Takes a queued item out.
   *
   * @param key the item's key
   * @return true if it was queued and is now gone; false if it is not queued here
   */
  boolean cancelQueued(WorkKey key);

  /**
   * Frees the room of a placed task.
   *
   * @param taskId the task
   * @param end how it ended
   * @param now the time
   */
  void taskEnded(TaskId taskId, TaskEnd end, long now);

  /**
   * Counts a task that already runs on a worker, found there after a takeover.
   *
   * @param taskId the task
   * @param worker the worker's name
   * @param workClass the task's class
   * @param reserved what it reserves
   * @param now the time
   */
  void adopt(TaskId taskId, String worker, WorkClass workClass, Resources reserved, long now);

  /**
   * Adds a worker, or changes its description or whether it takes new tasks. Tasks placed on it
   * stay.
   *
   * @param worker the worker
   * @param open whether it takes new tasks; false while draining, leaving or out of our control
   */
  void putWorker(WorkerDescription worker, boolean open);

  /**
   * Forgets a worker and the tasks placed on it.
   *
   * @param name the worker's name
   * @return the ids of the tasks that were placed on it
   */
  List<TaskId> removeWorker(String name);

  /**
   * Sets a team's weight in the fair order.
   *
   * @param team the team
   * @param share the weight, more than 0
   */
  void putShare(String team, double share);

  /**
   * Sets how many tasks the team may have placed at this instance.
   *
   * @param team the team
   * @param permits the number of tasks; 0 for an unknown team
   */
  void putPermits(String team, int permits);

  /**
   * Sets what the team uses at the other instances, as their digests tell.
   *
   * @param team the team
   * @param resources the sum over the other instances
   */
  void putRemoteUsage(String team, Resources resources);

  /**
   * Takes in a worker's lagging report of what a task really uses.
   *
   * @param taskId the task
   * @param used what it used when the report was made
   * @param now the time
   */
  void reportUsage(TaskId taskId, Resources used, long now);

  /**
   * Returns how many more tasks the team could place here at once if it had permits for them.
   *
   * @param team the team
   * @return the number of tasks waiting
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
   * Returns each worker with its room, for the operators' queries and the digest.
   *
   * @return a copy
   */
  List<WorkerSnapshot> workers();

  /**
   * Says in one sentence why a queued item waits.
   *
   * @param key the item's key
   * @param now the time
   * @return the reason, or empty if the item is not queued
   */
  Optional<String> explain(WorkKey key, long now);
}
