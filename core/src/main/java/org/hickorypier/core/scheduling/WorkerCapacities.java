package org.hickorypier.core.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkItem;

/**
 * The distinct worker capacities seen so far, used to detect work that can never run here.
 *
 * <p>Such work would wait until its deadline, occupy its queue, and be tried in every decision.
 * Capacities stay known after their workers have left, since workers come back; a fleet has only a
 * handful of distinct capacities. Confined to the control thread.
 */
final class WorkerCapacities {

  private final Map<Resources, Integer> workersByCapacity = new LinkedHashMap<>();

  void add(Resources capacity) {
    workersByCapacity.merge(capacity, 1, Integer::sum);
  }

  void remove(Resources capacity) {
    workersByCapacity.merge(capacity, -1, Integer::sum);
  }

  /**
   * Returns whether the capacity of a currently present worker suffices for a task of this size.
   */
  boolean fitsPresentWorker(Resources need) {
    return workersByCapacity.entrySet().stream()
        .anyMatch(entry -> entry.getValue() > 0 && need.fitsInto(entry.getKey()));
  }

  /**
   * Explains why a task can never fit.
   *
   * @param item the work
   * @return a sentence, or empty if some known capacity suffices for a task or none is known
   */
  Optional<String> explainNeverFits(WorkItem item) {
    Resources need = item.resources();
    if (workersByCapacity.isEmpty()
        || workersByCapacity.keySet().stream().anyMatch(need::fitsInto)) {
      return Optional.empty();
    }
    long processors = 0;
    long memory = 0;
    int accelerators = 0;
    for (Resources capacity : workersByCapacity.keySet()) {
      processors = Math.max(processors, capacity.milliProcessors());
      memory = Math.max(memory, capacity.memoryMebibytes());
      accelerators = Math.max(accelerators, capacity.accelerators());
    }
    if (need.milliProcessors() > processors) {
      return Optional.of(tooLarge("milli-processors", need.milliProcessors(), processors));
    }
    if (need.memoryMebibytes() > memory) {
      return Optional.of(tooLarge("MiB of memory", need.memoryMebibytes(), memory));
    }
    if (need.accelerators() > accelerators) {
      return Optional.of(tooLarge("accelerators", need.accelerators(), accelerators));
    }
    return Optional.of(
        "No worker has the processors, the memory and the accelerators of a task together.");
  }

  private static String tooLarge(String resource, long asked, long largest) {
    return "A task asks for "
        + asked
        + " "
        + resource
        + "; the largest worker has "
        + largest
        + ".";
  }
}
