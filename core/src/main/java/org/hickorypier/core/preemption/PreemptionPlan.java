package org.hickorypier.core.preemption;

import java.util.List;
import java.util.Map;

/**
 * Which runs to stop, and where the tasks of the step then fit.
 *
 * <p>Immutable.
 *
 * @param victims the runs to stop; empty if the step fits without
 * @param tasksByWorker number of tasks by worker id; all waiting tasks of the step
 * @param lossCoreMillis the work that is lost at most, in core-milliseconds
 */
public record PreemptionPlan(
    List<PreemptionCandidate> victims, Map<String, Integer> tasksByWorker, long lossCoreMillis) {

  /** Copies the collections, so that the record is immutable. */
  public PreemptionPlan {
    victims = List.copyOf(victims);
    tasksByWorker = Map.copyOf(tasksByWorker);
  }
}
