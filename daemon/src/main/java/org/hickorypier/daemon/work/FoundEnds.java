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
final class FoundEnds {

  private final long keepMillis;
  private final int limit;
  private final Map<WorkKey, Found> found = new LinkedHashMap<>();

  FoundEnds(long keepMillis, int limit) {
    this.keepMillis = keepMillis;
    this.limit = limit;
  }

  /** Notes a task that has ended. A worker lists the same end many times; the first counts. */
  void put(PlacedTask task, long now) {
    dropOld(now);
    if (found.size() < limit) {
      found.putIfAbsent(task.taskId().key(), new Found(task, now + keepMillis));
    }
  }

  boolean contains(WorkKey key, long now) {
    dropOld(now);
    return found.containsKey(key);
  }

  /** Takes an end out, to fetch its answer. */
  Optional<PlacedTask> take(WorkKey key, long now) {
    dropOld(now);
    return Optional.ofNullable(found.remove(key)).map(Found::task);
  }

  private void dropOld(long now) {
    Iterator<Found> oldestFirst = found.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next().expires <= now) {
      oldestFirst.remove();
    }
  }

  private record Found(PlacedTask task, long expires) {}
}
