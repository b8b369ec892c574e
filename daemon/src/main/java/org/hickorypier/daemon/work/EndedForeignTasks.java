package org.hickorypier.daemon.work;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.scheduling.PlacedTask;

/**
 * Ended tasks of requests that other instances ran, found on workers after a takeover.
 *
 * <p>When an instance is lost, a worker may still hold the answer to one of its requests. Without
 * this record the request would run a second time while its caller waits, or be reported as not
 * run.
 *
 * <p>Confined to the control thread. Invariant: at most the limit of tasks is kept; tasks found
 * beyond it are ignored, and their requests run again if they are repeated.
 */
final class EndedForeignTasks {

  private final long retentionMillis;
  private final int limit;
  private final Map<WorkKey, EndedTask> tasksByKey = new LinkedHashMap<>();

  EndedForeignTasks(long retentionMillis, int limit) {
    this.retentionMillis = retentionMillis;
    this.limit = limit;
  }

  /** Adds an ended task. A worker reports the same end many times; only the first report counts. */
  void put(PlacedTask task, long now) {
    removeExpired(now);
    if (tasksByKey.size() < limit) {
      tasksByKey.putIfAbsent(task.taskId().key(), new EndedTask(task, now + retentionMillis));
    }
  }

  boolean contains(WorkKey key, long now) {
    removeExpired(now);
    return tasksByKey.containsKey(key);
  }

  /** Removes and returns an ended task, so that its answer can be fetched. */
  Optional<PlacedTask> remove(WorkKey key, long now) {
    removeExpired(now);
    return Optional.ofNullable(tasksByKey.remove(key)).map(EndedTask::task);
  }

  private void removeExpired(long now) {
    Iterator<EndedTask> oldestFirst = tasksByKey.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next().expiryMillis <= now) {
      oldestFirst.remove();
    }
  }

  private record EndedTask(PlacedTask task, long expiryMillis) {}
}
