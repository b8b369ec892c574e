package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepSpec;

/**
 * Chooses workers for the tasks of a step: by best fit, so that wide tasks still find whole gaps
 * when many small ones are about.
 *
 * <p>Belongs to the control thread; changes nothing itself.
 */
final class Placer {

  /**
   * How long a gang that is slow over racks waits for one rack, as a part of its estimate: spread
   * out it takes twice as long or more, so waiting half its length is still a gain.
   */
  private static final double RACK_WAIT_FRACTION = 0.5;

  /** More than any difference of fit: a worker that failed the task is the last choice. */
  private static final double AVOIDED_PENALTY = 100;

  /** A tenth of difference in speed counts as much as the whole range of a fit, 0 to 2. */
  private static final double SPEED_WEIGHT = 20;

  /** A task far from its data takes twice as long or more: worth more than any tight fit. */
  private static final double AFFINITY_MISS_PENALTY = 10;

  private Placer() {}

  /**
   * Chooses a worker for each of some tasks.
   *
   * @param step the step
   * @param tasks the tasks that wait
   * @param workers the workers of the service that take work
   * @param suitable further conditions, such as a valid ticket
   * @param now the time
   * @return a worker a task for as many tasks as find one; for a gang all or none
   */
  static Map<Task, WorkerView> choose(
      StepRun step,
      List<Task> tasks,
      Collection<WorkerView> workers,
      Predicate<WorkerView> suitable,
      long now) {
    List<WorkerView> candidates = new ArrayList<>();
    for (WorkerView worker : workers) {
      if (matches(step.spec, worker) && suitable.test(worker)) {
        candidates.add(worker);
      }
    }
    if (step.isGang() && step.spec.flags().sameRack()) {
      return chooseOneRack(step, tasks, candidates, now);
    }
    return assignTasks(step, tasks, candidates);
  }

  /** Tells how many more tasks of the step a worker has room for. */
  static int freeSlots(StepRun step, WorkerView worker) {
    StepSpec spec = step.spec;
    Resources each = spec.each();
    long most = tasksThatFit(worker.freeMemory(), each.memoryMebibytes());
    if (!spec.flags().fills()) {
      most = Math.min(most, tasksThatFit(worker.freeProcessors(), each.milliProcessors()));
    }
    most = Math.min(most, tasksThatFit(worker.freeAccelerators(), each.accelerators()));
    if (spec.antiAffinity() > 0) {
      most = Math.min(most, spec.antiAffinity() - step.countRunsOn(worker));
    }
    return (int) Math.max(0, Math.min(most, Integer.MAX_VALUE));
  }

  private static long tasksThatFit(long free, long each) {
    return each == 0 ? Integer.MAX_VALUE : Math.max(0, free) / each;
  }

  static boolean matches(StepSpec spec, WorkerView worker) {
    return spec.requires().isEmpty() || worker.entry().labels().contains(spec.requires());
  }

  private static Map<Task, WorkerView> chooseOneRack(
      StepRun step, List<Task> tasks, List<WorkerView> candidates, long now) {
    Map<String, List<WorkerView>> racks = new LinkedHashMap<>();
    for (WorkerView worker : candidates) {
      racks.computeIfAbsent(worker.entry().rack(), rack -> new ArrayList<>()).add(worker);
    }
    for (List<WorkerView> rack : racks.values()) {
      Map<Task, WorkerView> chosen = assignTasks(step, tasks, rack);
      if (!chosen.isEmpty()) {
        return chosen;
      }
    }
    long waited = now - step.submission.acceptedAt;
    if (waited < RACK_WAIT_FRACTION * step.spec.estimateMillis()) {
      return Map.of();
    }
    return assignTasks(step, tasks, candidates);
  }

  private static Map<Task, WorkerView> assignTasks(
      StepRun step, List<Task> tasks, List<WorkerView> candidates) {
    Map<WorkerView, Integer> slots = new HashMap<>();
    int total = 0;
    for (WorkerView worker : candidates) {
      int free = freeSlots(step, worker);
      if (free > 0) {
        slots.put(worker, free);
        total += free;
      }
    }
    if (total == 0 || step.isGang() && total < tasks.size()) {
      return Map.of();
    }
    Map<WorkerView, Integer> taken = new HashMap<>();
    Map<Task, WorkerView> chosen = new LinkedHashMap<>();
    for (Task task : tasks) {
      WorkerView best = bestWorker(step, task, candidates, slots, taken);
      if (best != null) {
        chosen.put(task, best);
        taken.merge(best, 1, Integer::sum);
      } else if (step.isGang()) {
        return Map.of();
      }
    }
    return chosen;
  }

  private static WorkerView bestWorker(
      StepRun step,
      Task task,
      List<WorkerView> candidates,
      Map<WorkerView, Integer> slots,
      Map<WorkerView, Integer> taken) {
    WorkerView best = null;
    double bestScore = Double.MAX_VALUE;
    boolean retried = !step.failureRecord(task).failedRunNumbers.isEmpty();
    for (WorkerView worker : candidates) {
      int already = taken.getOrDefault(worker, 0);
      if (slots.getOrDefault(worker, 0) <= already) {
        continue;
      }
      double score = fitScore(step.spec, worker, already) + speedPenalty(step, worker);
      if (worker == step.failureRecord(task).avoidedWorker || worker == task.avoidedWorker) {
        score += AVOIDED_PENALTY;
      }
      if (retried && worker.failureStreak > 0) {
        score += AVOIDED_PENALTY;
      }
      if (score < bestScore) {
        bestScore = score;
        best = worker;
      }
    }
    return best;
  }

  /**
   * Ranks workers by their speed: what is urgent goes to quick ones, and what is not leaves them
   * free.
   *
   * <p>Load: a third of the workers takes a third longer. Harm prevented: a check may take half as
   * long again as its longest chain of work, and a slow kind of workers uses up most of that.
   */
  static double speedPenalty(StepRun step, WorkerView worker) {
    return (step.urgent ? 1 : -1) * SPEED_WEIGHT * worker.kindFactor;
  }

  private static double fitScore(StepSpec spec, WorkerView worker, int already) {
    Resources capacity = worker.entry().capacity();
    double leftProcessors =
        worker.freeProcessors() - (already + 1.0) * spec.each().milliProcessors();
    double leftMemory = worker.freeMemory() - (already + 1.0) * spec.each().memoryMebibytes();
    double score =
        leftProcessors / Math.max(1, capacity.milliProcessors())
            + leftMemory / Math.max(1, capacity.memoryMebibytes());
    if (!spec.affinity().isEmpty() && !worker.entry().labels().contains(spec.affinity())) {
      score += AFFINITY_MISS_PENALTY;
    }
    return score;
  }
}
