package org.hickorypier.standins.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Keeps a worker's history within bounds. Guarded by the lock of its worker.
 *
 * <p>Ended runs are kept without their payloads, so that memory does not grow with what callers
 * send.
 */
final class HistoryBook {

  /** Bounds the memory of a process that hosts hundreds of workers. */
  private static final int LARGEST = 20_000;

  private final Deque<TaskHistory> ended = new ArrayDeque<>();
  private long dropped;
  private long peakMilliProcessors;
  private long peakMemoryMebibytes;
  private int peakAccelerators;
  private int peakTasks;

  void started(Collection<TaskRun> running) {
    long processors = 0;
    long memory = 0;
    int accelerators = 0;
    for (TaskRun run : running) {
      processors += run.order().milliProcessors();
      memory += run.order().memoryMebibytes();
      accelerators += run.order().accelerators();
    }
    peakMilliProcessors = Math.max(peakMilliProcessors, processors);
    peakMemoryMebibytes = Math.max(peakMemoryMebibytes, memory);
    peakAccelerators = Math.max(peakAccelerators, accelerators);
    peakTasks = Math.max(peakTasks, running.size());
  }

  void ended(TaskRun run) {
    ended.addLast(run.history());
    if (ended.size() > LARGEST) {
      ended.removeFirst();
      dropped++;
    }
  }

  WorkerHistory snapshot(WorkerProfile profile, long token, Collection<TaskRun> running) {
    List<TaskHistory> starts = new ArrayList<>(ended);
    running.forEach(run -> starts.add(run.history()));
    starts.sort(Comparator.comparingLong(TaskHistory::startMillis));
    return new WorkerHistory(
        profile,
        token,
        peakMilliProcessors,
        peakMemoryMebibytes,
        peakAccelerators,
        peakTasks,
        doubleStarts(starts),
        dropped,
        starts);
  }

  private static List<String> doubleStarts(List<TaskHistory> starts) {
    Set<String> seen = new HashSet<>();
    Set<String> twice = new TreeSet<>();
    for (TaskHistory start : starts) {
      if (!seen.add(start.workKey())) {
        twice.add(start.workKey());
      }
    }
    return List.copyOf(twice);
  }
}
