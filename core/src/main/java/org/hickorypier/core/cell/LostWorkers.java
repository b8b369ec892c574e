package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The workers that were lost and of which nothing was heard since.
 *
 * <p>Invariant: a worker is kept until it answers, is replaced, or is overdue. Confined to the
 * control thread.
 */
final class LostWorkers {

  /** Time after which a worker that was not seen again is presumed to have crashed. */
  private static final long PRESUMED_CRASH_MILLIS = 20_000;

  private final Map<String, LostWorker> byId = new LinkedHashMap<>();

  void add(WorkerView worker, long lostAt, Map<Task, Integer> runNumbers) {
    String address = worker.entry().address();
    byId.put(
        worker.id(), new LostWorker(worker.id(), address, worker.bornMillis(), lostAt, runNumbers));
  }

  /** Removes a worker and returns it, or null if it is not lost. */
  LostWorker remove(String id) {
    return byId.remove(id);
  }

  /** Removes the workers of which an entry is the next incarnation. */
  List<LostWorker> removeReplacedBy(WorkerEntry entry) {
    return removeAll(
        lost -> lost.address().equals(entry.address()) && entry.bornMillis() > lost.bornMillis());
  }

  List<LostWorker> removeOverdue(long now) {
    return removeAll(lost -> now - lost.lostAt() >= PRESUMED_CRASH_MILLIS);
  }

  private List<LostWorker> removeAll(Predicate<LostWorker> condition) {
    List<LostWorker> removed = new ArrayList<>(byId.values());
    removed.removeIf(condition.negate());
    byId.values().removeAll(removed);
    return removed;
  }
}
