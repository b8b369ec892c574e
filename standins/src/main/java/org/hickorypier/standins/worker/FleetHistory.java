package org.hickorypier.standins.worker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The records of all workers together. The workers' clocks must agree, as they do on one machine.
 *
 * <p>Immutable.
 *
 * @param workers one record for each worker
 */
public record FleetHistory(List<WorkerHistory> workers) {

  /** Copies the list. */
  public FleetHistory {
    workers = List.copyOf(workers);
  }

  /**
   * Returns all starts on all workers.
   *
   * @return the starts by time
   */
  public List<TaskHistory> starts() {
    return workers.stream()
        .flatMap(worker -> worker.starts().stream())
        .sorted(Comparator.comparingLong(TaskHistory::startMillis))
        .toList();
  }

  /**
   * Finds work that ran in two places, or twice in one, at the same moment.
   *
   * @return the work keys
   */
  public TreeSet<String> overlapping() {
    return keysWhere(FleetHistory::anyOverlap);
  }

  /**
   * Finds work that was started more than once, also one after the other.
   *
   * @return the work keys
   */
  public TreeSet<String> startedMoreThanOnce() {
    return keysWhere(runs -> runs.size() > 1);
  }

  /**
   * Finds workers that held more than they have.
   *
   * @return the workers' names
   */
  public List<String> overCapacity() {
    return workers.stream()
        .filter(WorkerHistory::overCapacity)
        .map(history -> history.worker().name())
        .toList();
  }

  /**
   * Finds the most tasks of a team that ran at one moment.
   *
   * @param team the team
   * @return the peak over the whole fleet
   */
  public int peakTasks(String team) {
    List<long[]> steps = new ArrayList<>();
    for (TaskHistory run : starts()) {
      if (run.taskId().startsWith(team + "~")) {
        steps.add(new long[] {run.startMillis(), 1});
        steps.add(new long[] {run.endMillis() < 0 ? Long.MAX_VALUE : run.endMillis(), -1});
      }
    }
    // Of two steps in the same millisecond the end counts first: the order is not known.
    steps.sort(
        Comparator.<long[]>comparingLong(step -> step[0]).thenComparingLong(step -> step[1]));
    int running = 0;
    int peak = 0;
    for (long[] step : steps) {
      running += (int) step[1];
      peak = Math.max(peak, running);
    }
    return peak;
  }

  private TreeSet<String> keysWhere(Predicate<List<TaskHistory>> condition) {
    Map<String, List<TaskHistory>> byKey =
        starts().stream()
            .collect(
                Collectors.groupingBy(TaskHistory::workKey, TreeMap::new, Collectors.toList()));
    return byKey.entrySet().stream()
        .filter(entry -> condition.test(entry.getValue()))
        .map(Map.Entry::getKey)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static boolean anyOverlap(List<TaskHistory> runs) {
    for (int first = 0; first < runs.size(); first++) {
      for (int second = first + 1; second < runs.size(); second++) {
        if (runs.get(first).overlaps(runs.get(second))) {
          return true;
        }
      }
    }
    return false;
  }
}
