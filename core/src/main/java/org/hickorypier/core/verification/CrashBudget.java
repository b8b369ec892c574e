package org.hickorypier.core.verification;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.cell.TaskName;

/**
 * Counts the crashes of workers under tasks that cause them, and the starts of these tasks.
 *
 * <p>Not thread-safe; guarded by the {@link GuaranteeChecker}.
 */
final class CrashBudget {

  /** Number of crashes under a task from which on its submission may be given up. */
  private static final int CRASHES_TO_GIVE_UP = 2;

  private static final int CRASHES_BEFORE_LAST_STARTS = 3;

  /** Number of starts that are allowed after the third crash. */
  private static final int LAST_STARTS = 2;

  private final Set<TaskName> crashing = new HashSet<>();
  private final Map<TaskName, Integer> crashesUnder = new HashMap<>();
  private final Map<TaskName, Integer> lastStarts = new HashMap<>();

  void declareCrashing(TaskName task) {
    crashing.add(task);
  }

  void recordWorkerCrash(Collection<TaskName> tasks) {
    new HashSet<>(tasks).forEach(task -> crashesUnder.merge(task, 1, Integer::sum));
  }

  /** Records a start, and returns whether it is allowed. */
  boolean recordStart(TaskName task) {
    return !crashing.contains(task)
        || crashesUnder.getOrDefault(task, 0) < CRASHES_BEFORE_LAST_STARTS
        || lastStarts.merge(task, 1, Integer::sum) <= LAST_STARTS;
  }

  /** Returns whether a task crashed enough workers. */
  boolean mayGiveUp(TaskName task) {
    return crashing.contains(task) && crashesUnder.getOrDefault(task, 0) >= CRASHES_TO_GIVE_UP;
  }

  /** Returns whether a submission has a task that crashed enough workers. */
  boolean mayGiveUp(String submission) {
    return crashing.stream()
        .anyMatch(task -> task.submission().equals(submission) && mayGiveUp(task));
  }
}
