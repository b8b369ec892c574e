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
 * Chooses workers for the tasks of a step by best fit, so that many small tasks leave large free
 * blocks for wide tasks.
 *
 * <p>Stateless; reads the state of workers and steps, and is confined to the control thread.
 */
final class Placer {

  /**
   * How long a gang with the same-rack flag waits for a single rack, as a fraction of its estimate.
   * Across racks it takes at least twice as long, so a wait of half its estimate still pays off.
   */
  private static final double RACK_WAIT_FRACTION = 0.5;

  /** Exceeds any difference in fit, so a worker that failed the task is the last choice. */
  private static final double AVOIDED_PENALTY = 100;

  /** A speed difference of one tenth weighs as much as the whole range of the fit, 0 to 2. */
  private static final double SPEED_WEIGHT = 20;

  /** Exceeds any difference in fit: a task far from its data takes at least twice as long. */
  private static final double AFFINITY_MISS_PENALTY = 10;

  /** Exceeds any difference in fit and speed, so a cold worker is chosen if no other has room. */
  private static final double COLD_PENALTY = 50;

  private Placer() {}

  /**
   * Chooses workers for tasks.
   *
   * @param step the step
   * @param tasks the waiting tasks
   * @param workers the workers of the service that accept work
   * @param suitable a further condition, such as a valid ticket
   * @param now the time
   * @return the chosen worker of each task that can be placed; for a gang all tasks or none
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

  /** Returns how many more tasks of the step a worker has room for. */
  static int freeSlots(StepRun step, WorkerView worker) {
    long most =
        tasksThatFit(
            step.spec, worker.freeProcessors(), worker.freeMemory(), worker.freeAccelerators());
    int antiAffinity = step.spec.antiAffinity();
    if (antiAffinity > 0) {
      most = Math.min(most, antiAffinity - step.countRunsOn(worker));
    }
    return (int) Math.max(0, Math.min(most, Integer.MAX_VALUE));
  }

  /** Returns how many tasks of the step a worker has room for if nothing runs there. */
  static int slotsIfEmpty(StepRun step, WorkerView worker) {
    Resources capacity = worker.entry().capacity();
    long most =
        tasksThatFit(
            step.spec,
            capacity.milliProcessors(),
            capacity.memoryMebibytes(),
            capacity.accelerators());
    int antiAffinity = step.spec.antiAffinity();
    return (int) Math.min(most, antiAffinity > 0 ? antiAffinity : Integer.MAX_VALUE);
  }

  static long tasksThatFit(StepSpec spec, long processors, long memory, long accelerators) {
    Resources each = spec.taskResources();
    long most = tasksThatFit(memory, each.memoryMebibytes());
    if (!spec.flags().opportunistic()) {
      most = Math.min(most, tasksThatFit(processors, each.milliProcessors()));
    }
    return Math.min(most, tasksThatFit(accelerators, each.accelerators()));
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
    return mayLeaveRack(step, now) ? assignTasks(step, tasks, candidates) : Map.of();
  }

  /** Tells whether a gang has waited so long for a single rack that it may use several. */
  static boolean mayLeaveRack(StepRun step, long now) {
    long waited = now - step.submission.acceptedAt;
    return waited >= RACK_WAIT_FRACTION * step.spec.estimateMillis();
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
    Map<WorkerView, Integer> assignedTasks = new HashMap<>();
    Map<Task, WorkerView> chosen = new LinkedHashMap<>();
    for (Task task : tasks) {
      WorkerView best = bestWorker(step, task, candidates, slots, assignedTasks, chosen);
      if (best != null) {
        chosen.put(task, best);
        assignedTasks.merge(best, 1, Integer::sum);
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
      Map<WorkerView, Integer> assignedTasks,
      Map<Task, WorkerView> chosen) {
    WorkerView best = null;
    double bestScore = Double.MAX_VALUE;
    boolean retried = !step.failureRecord(task).failedRunNumbers.isEmpty();
    for (WorkerView worker : candidates) {
      int assigned = assignedTasks.getOrDefault(worker, 0);
      if (slots.getOrDefault(worker, 0) <= assigned) {
        continue;
      }
      double score = fitScore(step.spec, worker, assigned) + speedPenalty(step, worker);
      if (worker == step.failureRecord(task).avoidedWorker || worker == task.avoidedWorker) {
        score += AVOIDED_PENALTY;
      }
      if (task.crashUnit().crashes != null && joinsSharedLoss(task, worker, chosen)) {
        score += AVOIDED_PENALTY;
      }
      if (retried && worker.failureStreak > 0) {
        score += AVOIDED_PENALTY;
      }
      if (worker.cold) {
        score += COLD_PENALTY;
      }
      if (score < bestScore) {
        bestScore = score;
        best = worker;
      }
    }
    return best;
  }

  /**
   * Returns whether a task would run beside another that lost its last run with the same worker.
   * Each of them may have crashed it, and together they would share the next loss as well.
   */
  private static boolean joinsSharedLoss(
      Task task, WorkerView worker, Map<Task, WorkerView> chosen) {
    for (Run run : worker.runs.values()) {
      if (run.task != null && sharesLoss(task, run.task)) {
        return true;
      }
    }
    return chosen.entrySet().stream()
        .anyMatch(entry -> entry.getValue() == worker && sharesLoss(task, entry.getKey()));
  }

  private static boolean sharesLoss(Task task, Task other) {
    Task unit = task.crashUnit();
    Task otherUnit = other.crashUnit();
    return unit != otherUnit && unit.crashes.sharesLastLoss(otherUnit.crashes);
  }

  /**
   * Returns a penalty by the speed of a worker: urgent work prefers fast workers, and other work
   * leaves them free.
   *
   * <p>A third of the workers may take a third longer than the others. A check that may take 1.5
   * times its longest chain of work would lose most of that margin on a slow kind of worker.
   */
  static double speedPenalty(StepRun step, WorkerView worker) {
    return (step.urgent ? 1 : -1) * SPEED_WEIGHT * worker.kindFactor;
  }

  private static double fitScore(StepSpec spec, WorkerView worker, int assigned) {
    Resources capacity = worker.entry().capacity();
    double leftProcessors =
        worker.freeProcessors() - (assigned + 1.0) * spec.taskResources().milliProcessors();
    double leftMemory =
        worker.freeMemory() - (assigned + 1.0) * spec.taskResources().memoryMebibytes();
    double score =
        leftProcessors / Math.max(1, capacity.milliProcessors())
            + leftMemory / Math.max(1, capacity.memoryMebibytes());
    if (!spec.affinity().isEmpty() && !worker.entry().labels().contains(spec.affinity())) {
      score += AFFINITY_MISS_PENALTY;
    }
    return score;
  }
}
