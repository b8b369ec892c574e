package org.hickorypier.daemon.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.scheduling.PlacedTask;

/**
 * Who started the tasks that this instance counts on its workers.
 *
 * <p>Belongs to the control thread. A task that another instance started fills our worker but is
 * covered by that instance's permits; counted against ours as well, the team would get less than
 * its limit for as long as the task runs.
 */
public final class TaskOwners {

  private final BiPredicate<String, String> covers;
  private final Map<TaskId, String> foreign = new HashMap<>();

  /**
   * Creates a record without tasks.
   *
   * @param covers whether our permits cover the tasks of an owner on a worker: worker, owner
   */
  public TaskOwners(BiPredicate<String, String> covers) {
    this.covers = covers;
  }

  /**
   * Notes that another controller started a task.
   *
   * @param taskId the task
   * @param owner the controller
   */
  public void put(TaskId taskId, String owner) {
    foreign.put(taskId, owner);
  }

  /**
   * Tells whether a placed task is covered by our permits.
   *
   * @param task the task
   * @return false if another instance's permits cover it
   */
  public boolean isOurs(PlacedTask task) {
    String owner = foreign.get(task.taskId());
    return owner == null || covers.test(task.worker(), owner);
  }

  /**
   * Forgets all tasks that are no longer placed.
   *
   * @param placed the tasks that are
   */
  public void keepOnly(Iterable<PlacedTask> placed) {
    if (foreign.isEmpty()) {
      return;
    }
    Set<TaskId> live = new HashSet<>();
    placed.forEach(task -> live.add(task.taskId()));
    foreign.keySet().retainAll(live);
  }
}
