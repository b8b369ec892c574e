package org.hickorypier.core.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.model.WorkKey;

/**
 * The history of work across attempts: the number of attempts, the number of live tasks, and the
 * workers on which its tasks failed.
 *
 * <p>Work that completed without a failure is removed at once, since its key is not submitted again
 * except as new work. Other work is kept for the retention time after its last task ended, so the
 * memory is bounded by the failures in that time.
 *
 * <p>Not thread-safe.
 */
final class WorkHistory {

  private final long retentionMillis;
  private final Map<WorkKey, Entry> entries = new HashMap<>();
  private final LinkedHashMap<WorkKey, Long> endMillisByKey = new LinkedHashMap<>();

  WorkHistory(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  private static final class Entry {
    private int attempts;
    private int liveTasks;
    private int tasks;
    private boolean queued;
    private boolean hadBadEnd;
    private Set<String> failedWorkers = Set.of();
  }

  /** Counts a new attempt and returns its number, starting at 1. */
  int newAttempt(WorkKey key, int tasks) {
    Entry entry = entries.computeIfAbsent(key, unused -> new Entry());
    entry.attempts++;
    entry.tasks = Math.max(entry.tasks, tasks);
    entry.queued = true;
    endMillisByKey.remove(key);
    return entry.attempts;
  }

  /**
   * Records that no task of the work waits any more. An attempt without a placed task is not
   * counted.
   */
  void recordDequeue(WorkKey key, boolean started, long now) {
    Entry entry = entries.get(key);
    entry.queued = false;
    if (!started) {
      entry.attempts--;
    }
    retainOrForget(key, entry, now);
  }

  void recordAdoptedTask(WorkKey key, int attempt) {
    Entry entry = entries.computeIfAbsent(key, unused -> new Entry());
    entry.attempts = Math.max(entry.attempts, attempt);
    entry.tasks = Math.max(entry.tasks, entry.liveTasks + 1);
    entry.liveTasks++;
    endMillisByKey.remove(key);
  }

  void recordPlacedTask(WorkKey key) {
    entries.get(key).liveTasks++;
  }

  void recordTaskEnd(WorkKey key, String worker, TaskEnd end, long now) {
    Entry entry = entries.get(key);
    entry.liveTasks--;
    entry.hadBadEnd |= end != TaskEnd.COMPLETED;
    if (end == TaskEnd.FAILED) {
      if (entry.failedWorkers.isEmpty()) {
        entry.failedWorkers = new HashSet<>();
      }
      entry.failedWorkers.add(worker);
    }
    retainOrForget(key, entry, now);
  }

  /**
   * Tells whether this many more tasks would take work with live tasks above its number of tasks.
   */
  boolean wouldExceedTaskCount(WorkKey key, int tasks) {
    Entry entry = entries.get(key);
    return entry != null && entry.liveTasks > 0 && entry.liveTasks + tasks > entry.tasks;
  }

  Set<String> failedWorkers(WorkKey key) {
    Entry entry = entries.get(key);
    return entry == null ? Set.of() : entry.failedWorkers;
  }

  void removeExpired(long now) {
    Iterator<Map.Entry<WorkKey, Long>> oldest = endMillisByKey.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<WorkKey, Long> next = oldest.next();
      if (next.getValue() + retentionMillis > now) {
        return;
      }
      entries.remove(next.getKey());
      oldest.remove();
    }
  }

  private void retainOrForget(WorkKey key, Entry entry, long now) {
    if (entry.liveTasks > 0 || entry.queued) {
      return;
    }
    if (entry.hadBadEnd) {
      endMillisByKey.remove(key);
      endMillisByKey.put(key, now);
    } else {
      entries.remove(key);
    }
  }
}
