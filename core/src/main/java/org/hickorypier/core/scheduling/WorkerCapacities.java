package org.hickorypier.core.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkItem;

/**
 * The sorts of worker seen so far, to tell work that can never run here.
 *
 * <p>Such work would wait to its deadline, hold a place in its queue, and be tried in every
 * decision. Sorts stay known after their workers have gone, since workers come back; a fleet has a
 * handful of sorts. Not thread safe.
 */
final class WorkerCapacities {

  private final Map<Resources, Integer> workersByCapacity = new LinkedHashMap<>();

  void add(Resources capacity) {
    workersByCapacity.merge(capacity, 1, Integer::sum);
  }

  void remove(Resources capacity) {
    workersByCapacity.merge(capacity, -1, Integer::sum);
  }

  /** Tells whether a worker that is here now could hold a task of this size. */
  boolean fitsPresentWorker(Resources need) {
    return workersByCapacity.entrySet().stream()
        .anyMatch(sort -> sort.getValue() > 0 && need.fitsInto(sort.getKey()));
  }

  /**
   * Says why a task can never fit.
   *
   * @param item the work
   * @return the sentence, or empty if a worker of some sort could hold a task
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
