package org.hickorypier.standins.worker;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The tasks that ended lately, kept for their answers. Guarded by the lock of its worker.
 *
 * <p>Bounded by age, number and bytes of payload; the oldest go first.
 */
final class EndedTasks {

  /** Long enough for a new owner to find a task that ended while nobody looked. */
  private static final long KEPT_MILLIS = 60_000;

  private static final int LARGEST = 4_096;
  private static final long LARGEST_BYTES = 8L << 20;

  /** Bounds the size of a status. */
  private static final int LISTED = 32;

  private final LinkedHashMap<String, TaskRun> runs = new LinkedHashMap<>();
  private long bytes;

  void add(TaskRun run) {
    TaskRun previous = runs.put(run.order().taskId(), run);
    bytes += run.order().payload().length;
    bytes -= previous == null ? 0 : previous.order().payload().length;
  }

  TaskRun get(String taskId) {
    return runs.get(taskId);
  }

  void clear() {
    runs.clear();
    bytes = 0;
  }

  void forget(long now) {
    while (!runs.isEmpty()) {
      Map.Entry<String, TaskRun> oldest = runs.entrySet().iterator().next();
      boolean keep =
          runs.size() <= LARGEST
              && bytes <= LARGEST_BYTES
              && now - oldest.getValue().endMillis() < KEPT_MILLIS;
      if (keep) {
        return;
      }
      runs.remove(oldest.getKey());
      bytes -= oldest.getValue().order().payload().length;
    }
  }

  List<TaskRun> listed() {
    return runs.values().stream().skip(Math.max(0, runs.size() - LISTED)).toList();
  }
}
