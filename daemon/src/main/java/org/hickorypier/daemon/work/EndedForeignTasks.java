package org.hickorypier.daemon.work;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.scheduling.PlacedTask;

/**
 * Ends of requests that other instances ran, found on workers after a takeover.
 *
 * <p>Failure prevented: an instance is lost with an answer that its worker still holds; the request
 * would be run a second time, while its caller waits, or be called not run.
 *
 * <p>Belongs to the control thread. Invariant: never more than the limit; ends found beyond it are
 * passed over, and their requests are run again if asked for.
 */
final class EndedForeignTasks {

  private final long retentionMillis;
  private final int limit;
  private final Map<WorkKey, EndedTask> tasksByKey = new LinkedHashMap<>();

  EndedForeignTasks(long keepMillis, int limit) {
    this.retentionMillis = keepMillis;
    this.limit = limit;
  }

  /** Notes a task that has ended. A worker lists the same end many times; the first counts. */
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

  /** Takes an end out, to fetch its answer. */
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
