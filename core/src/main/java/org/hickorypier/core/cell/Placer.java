package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.hickorypier.core.estimation.WorkerSpeedEstimator;
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

  /**
   * Step of the factors by which workers are placed. Estimates are accurate to about a tenth, and a
   * finer step would let their errors decide instead of the fit.
   */
  static final double FACTOR_GRID = 0.25;

  /** Exceeds all other differences, so a worker that failed the task is the last choice. */
  private static final double AVOIDED_PENALTY = 400;

  /** A speed difference of one tenth weighs as much as the whole range of the fit, 0 to 2. */
  private static final double SPEED_WEIGHT = 20;

  /**
   * Allowed factor below which a step takes the fastest workers. With less than half of its run
   * time to spare, a task that is uneven by 0.3 would be late on a slower one.
   */
  private static final double LITTLE_SLACK_FACTOR = 1.5;

  /**
   * Allowed factor below which a gang takes the fastest workers. A gang is late if any of its
   * members is, and its members take the room of the longest of them.
   */
  private static final double LITTLE_GANG_SLACK_FACTOR = 2.5;

  /** Largest ratio of the factors of two workers that count as alike for a gang. */
  private static final double ALIKE_RATIO = 1.5;

  /** Number of steps of the factors' range; see {@link WorkerSpeedEstimator#MAX_FACTOR}. */
  private static final int FACTOR_CLASSES =
      (int) Math.rint(WorkerSpeedEstimator.MAX_FACTOR / FACTOR_GRID);

  /** Exceeds any difference in fit: a task far from its data takes at least twice as long. */
  private static final double AFFINITY_MISS_PENALTY = 10;

  /** Exceeds any difference in fit and speed, so a cold worker is chosen if no other has room. */
  private static final double COLD_PENALTY = 180;

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
    return choose(step, tasks, workers, suitable, worker -> Integer.MAX_VALUE, now);
  }

  /**
   * Chooses workers for tasks, of which each worker takes a limited number.
   *
   * @param maxTasks the most tasks that a worker takes
   */
  static Map<Task, WorkerView> choose(
      StepRun step,
      List<Task> tasks,
      Collection<WorkerView> workers,
      Predicate<WorkerView> suitable,
      ToIntFunction<WorkerView> maxTasks,
      long now) {
    List<WorkerView> candidates = new ArrayList<>();
    for (WorkerView worker : workers) {
      if (matches(step.spec, worker) && suitable.test(worker)) {
        candidates.add(worker);
      }
    }
    if (step.isGang() && step.spec.flags().sameRack()) {
      return chooseOneRack(step, tasks, candidates, maxTasks, now);
    }
    return assignTasks(step, tasks, candidates, maxTasks);
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
    Resources capacity = worker.incarnation().capacity();
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
    return spec.requires().isEmpty() || worker.incarnation().labels().contains(spec.requires());
  }

  private static Map<Task, WorkerView> chooseOneRack(
      StepRun step,
      List<Task> tasks,
      List<WorkerView> candidates,
      ToIntFunction<WorkerView> maxTasks,
      long now) {
    Map<String, List<WorkerView>> racks = new LinkedHashMap<>();
    for (WorkerView worker : candidates) {
      racks.computeIfAbsent(worker.incarnation().rack(), rack -> new ArrayList<>()).add(worker);
    }
    Map<Task, WorkerView> best = Map.of();
    for (List<WorkerView> rack : racks.values()) {
      Map<Task, WorkerView> chosen = assignTasks(step, tasks, rack, maxTasks);
      if (!chosen.isEmpty() && (best.isEmpty() || slowest(chosen) < slowest(best))) {
        best = chosen;
      }
      if (!best.isEmpty() && !(step.placedBySpeed && prefersFast(step))) {
        break;
      }
    }
    if (!best.isEmpty()) {
      return best;
    }
    return mayLeaveRack(step, now) ? assignTasks(step, tasks, candidates, maxTasks) : Map.of();
  }

  /** Tells whether a gang has waited so long for a single rack that it may use several. */
  static boolean mayLeaveRack(StepRun step, long now) {
    long waited = now - step.submission.acceptedAt;
    return waited >= RACK_WAIT_FRACTION * step.spec.estimateMillis();
  }

  private static double slowest(Map<Task, WorkerView> chosen) {
    double slowest = 0;
    for (WorkerView worker : chosen.values()) {
      slowest = Math.max(slowest, worker.placingFactor);
    }
    return slowest;
  }

  private static Map<Task, WorkerView> assignTasks(
      StepRun step,
      List<Task> tasks,
      List<WorkerView> candidates,
      ToIntFunction<WorkerView> maxTasks) {
    int count = candidates.size();
    int[] slots = new int[count];
    int total = 0;
    for (int index = 0; index < count; index++) {
      WorkerView worker = candidates.get(index);
      slots[index] = Math.min(freeSlots(step, worker), maxTasks.applyAsInt(worker));
      total = (int) Math.min(Integer.MAX_VALUE, (long) total + slots[index]);
    }
    if (total == 0 || step.isGang() && total < tasks.size()) {
      return Map.of();
    }
    double[] preferences = new double[count];
    if (step.isGang() && step.placedBySpeed) {
      keepWorkersOfLikeSpeed(step, tasks.size(), candidates, slots);
    } else {
      for (int index = 0; index < count; index++) {
        preferences[index] = speedPenalty(step, candidates.get(index));
      }
    }
    int[] assigned = new int[count];
    Map<Task, WorkerView> chosen = new LinkedHashMap<>();
    for (Task task : tasks) {
      int best = bestWorker(step, task, candidates, slots, assigned, preferences, chosen);
      if (best >= 0) {
        chosen.put(task, candidates.get(best));
        assigned[best]++;
      } else if (step.isGang()) {
        return Map.of();
      }
    }
    return chosen;
  }

  /**
   * Keeps the slots of the workers that a gang may use, which is as slow as its slowest member. A
   * gang with time to spare uses the slowest workers alike that are in time, and another the
   * fastest ones; in the latter case all workers up to the speed of the slowest that it needs serve
   * equally well.
   */
  private static void keepWorkersOfLikeSpeed(
      StepRun step, int wanted, List<WorkerView> candidates, int[] slots) {
    Task record = step.tasks[0];
    boolean retried = !record.failedRunNumbers.isEmpty();
    int[] slotsByClass = new int[2 * FACTOR_CLASSES + 1];
    for (int index = 0; index < slots.length; index++) {
      int factorClass = factorClass(candidates.get(index), record, retried);
      slotsByClass[factorClass] += Math.min(wanted, slots[index]);
    }
    int slowest = prefersFast(step) ? -1 : slowestClassAlike(step, wanted, slotsByClass);
    int fastest = slowest < 0 ? 0 : fastestClassAlike(slowest);
    if (slowest < 0) {
      int room = slotsByClass[0];
      slowest = 0;
      while (room < wanted && slowest < 2 * FACTOR_CLASSES) {
        slowest++;
        room += slotsByClass[slowest];
      }
    }
    for (int index = 0; index < slots.length; index++) {
      int factorClass = factorClass(candidates.get(index), record, retried);
      if (factorClass < fastest || factorClass > slowest) {
        slots[index] = 0;
      }
    }
  }

  /** Returns the class of a worker for a gang; those that are to be avoided come last. */
  private static int factorClass(WorkerView worker, Task record, boolean retried) {
    boolean lastChoice =
        worker.cold || worker == record.avoidedWorker || retried && worker.failureStreak > 0;
    int factorClass = (int) Math.rint(worker.placingFactor / FACTOR_GRID);
    return Math.min(FACTOR_CLASSES, factorClass) + (lastChoice ? FACTOR_CLASSES : 0);
  }

  /**
   * Returns the class of the slowest workers in time that, with those alike, have room for a gang;
   * -1 if there are none.
   */
  private static int slowestClassAlike(StepRun step, int wanted, int[] slotsByClass) {
    int top = (int) Math.min(FACTOR_CLASSES, step.allowedFactor / FACTOR_GRID);
    for (int slowest = top; slowest >= 1; slowest--) {
      int room = 0;
      for (int each = fastestClassAlike(slowest); each <= slowest; each++) {
        room += slotsByClass[each];
      }
      if (room >= wanted && slotsByClass[slowest] > 0) {
        return slowest;
      }
    }
    return -1;
  }

  private static int fastestClassAlike(int slowest) {
    return (int) Math.ceil(slowest / ALIKE_RATIO);
  }

  private static int bestWorker(
      StepRun step,
      Task task,
      List<WorkerView> candidates,
      int[] slots,
      int[] assigned,
      double[] preferences,
      Map<Task, WorkerView> chosen) {
    int best = -1;
    double bestScore = Double.MAX_VALUE;
    Task record = step.failureRecord(task);
    boolean retried = !record.failedRunNumbers.isEmpty();
    for (int index = 0; index < slots.length; index++) {
      if (slots[index] <= assigned[index]) {
        continue;
      }
      WorkerView worker = candidates.get(index);
      double score = fitScore(step.spec, worker, assigned[index]) + preferences[index];
      if (worker == record.avoidedWorker || worker == task.avoidedWorker) {
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
        best = index;
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
   * Returns a penalty by the speed of a worker: urgent work and work with little time to spare
   * prefer fast workers. Other work leaves them free as long as it is in time on slower ones.
   *
   * <p>A third of the workers may take 2.4 times as long as the others. A check that may take 1.5
   * times its longest chain of work would be late on one of these.
   */
  static double speedPenalty(StepRun step, WorkerView worker) {
    double factor = worker.placingFactor;
    boolean fast = prefersFast(step) || factor > step.allowedFactor;
    return (fast ? 1 : -1) * SPEED_WEIGHT * factor;
  }

  private static boolean prefersFast(StepRun step) {
    return step.urgent
        || step.allowedFactor < (step.isGang() ? LITTLE_GANG_SLACK_FACTOR : LITTLE_SLACK_FACTOR);
  }

  private static double fitScore(StepSpec spec, WorkerView worker, int assigned) {
    Resources capacity = worker.incarnation().capacity();
    double leftProcessors =
        worker.freeProcessors() - (assigned + 1.0) * spec.taskResources().milliProcessors();
    double leftMemory =
        worker.freeMemory() - (assigned + 1.0) * spec.taskResources().memoryMebibytes();
    double score =
        leftProcessors / Math.max(1, capacity.milliProcessors())
            + leftMemory / Math.max(1, capacity.memoryMebibytes());
    if (!spec.affinity().isEmpty() && !worker.incarnation().labels().contains(spec.affinity())) {
      score += AFFINITY_MISS_PENALTY;
    }
    return score;
  }
}
