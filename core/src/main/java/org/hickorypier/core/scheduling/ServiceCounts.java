package org.hickorypier.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.model.WorkKey;

/**
 * Counts the running tasks of each service in one location.
 *
 * <p>Each attempt of a job's tasks has its own key; all of them count towards the one service.
 *
 * <p>Not thread-safe.
 */
final class ServiceCounts {

  private final Map<WorkKey, Integer> tasksByService = new HashMap<>();

  int taskCount(WorkKey service) {
    return tasksByService.getOrDefault(AttemptKey.workOf(service), 0);
  }

  void add(WorkKey service) {
    tasksByService.merge(AttemptKey.workOf(service), 1, Integer::sum);
  }

  void remove(WorkKey service) {
    tasksByService.computeIfPresent(
        AttemptKey.workOf(service), (unused, count) -> count == 1 ? null : count - 1);
  }
}
