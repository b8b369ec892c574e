package org.hickorypier.standins.worker;

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
    return runsAtPeak(team).size();
  }

  /**
   * Finds the tasks of a team that ran at the moment when most of them did.
   *
   * @param team the team
   * @return the runs, by their starts; of several such moments those of the first
   */
  public List<TaskHistory> runsAtPeak(String team) {
    List<TaskHistory> runs =
        starts().stream().filter(run -> run.taskId().startsWith(team + "~")).toList();
    List<TaskHistory> most = List.of();
    for (TaskHistory latest : runs) {
      long moment = latest.startMillis();
      List<TaskHistory> running = runs.stream().filter(run -> run.runsAt(moment)).toList();
      most = running.size() > most.size() ? running : most;
    }
    return most;
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
