package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Reserves workers for tasks that may crash them, so that such a task runs beside no other.
 *
 * <p>Invariants: a reserved worker gets no orders for other work until the task has run there for a
 * while; of the workers of a service a quarter stays free of reservations, and at most a quarter is
 * emptied for them, except for one gang at a time. Confined to the control thread.
 */
final class TrialWorkers {

  /** Longest time for which the first run of a task alone keeps its worker to itself. */
  private static final long MAX_FIRST_TRIAL_MILLIS = 5_000;

  /**
   * Covers a crash that takes twice as long to be seen as the quickest one under the task, and from
   * the second trial on as the slowest one.
   */
  private static final long TRIAL_FACTOR = 2;

  private static final long MIN_TRIAL_MILLIS = 300;

  /** Number of lost runs before the first run of a task alone. */
  private static final int LOSSES_BEFORE_FIRST_TRIAL = 2;

  /** Longest time for which the later ones keep it to themselves. */
  private static final long MAX_TRIAL_MILLIS = 30_000;

  /** A persistent task that ran for so long before is not the cause of a crash. */
  private static final long PROVEN_RUN_MILLIS = 10_000;

  /** A reservation that is not asked for any longer is released, such as at a customer's limit. */
  private static final long RESERVATION_MILLIS = 1_000;

  private static final double MAX_RESERVED_SHARE = 0.75;
  private static final double MAX_EMPTIED_SHARE = 0.25;

  private final CellState cell;

  TrialWorkers(CellState cell) {
    this.cell = cell;
  }

  /**
   * Returns whether nothing on a reserved worker but the task that it is reserved for can be the
   * cause of a crash.
   */
  static boolean isAlone(WorkerView worker) {
    if (worker.trialUnit == null) {
      return false;
    }
    for (Run run : worker.runs.values()) {
      if (!isOf(worker.trialUnit, run) && !wasProvenBefore(run, worker.trialSince)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isOf(Task unit, Run run) {
    return run.task != null && run.task.crashUnit() == unit;
  }

  private static boolean wasProvenBefore(Run run, long time) {
    return run.task != null
        && run.task.step.isPersistent()
        && run.isConfirmed()
        && time - run.confirmedAt >= PROVEN_RUN_MILLIS;
  }

  /** Releases the workers that are no longer needed. */
  void releaseUnneeded(long now) {
    for (WorkerView worker : cell.workers.values()) {
      if (worker.trialUnit != null && !isNeeded(worker, now)) {
        worker.trialUnit = null;
        cell.dirty = true;
      }
    }
  }

  private boolean isNeeded(WorkerView worker, long now) {
    Task unit = worker.trialUnit;
    Optional<Run> run = worker.runs.values().stream().filter(each -> isOf(unit, each)).findFirst();
    if (run.isPresent()) {
      return !run.get().isConfirmed()
          || worker.lastAnswerAt - run.get().confirmedAt < trialMillis(unit);
    }
    return unit.step.submission.isLive()
        && (unit.step.isGang() ? unit.step.allTasksWaiting() : unit.isWaiting())
        && now - worker.trialWantedAt <= RESERVATION_MILLIS
        && cell.crashVerdict(unit, now) == CrashVerdict.START_ALONE
        && worker.isUsable(now)
        && isSuitable(unit.step, worker);
  }

  private static long trialMillis(Task unit) {
    long quickest = Long.MAX_VALUE;
    long longest = 0;
    for (LostRun lost : unit.crashes.lostRuns()) {
      if (lost.isSeen()) {
        quickest = Math.min(quickest, lost.ranMillis());
        longest = Math.max(longest, lost.ranMillis());
      }
    }
    return unit.crashes.seenLosses() > LOSSES_BEFORE_FIRST_TRIAL
        ? Math.min(MAX_TRIAL_MILLIS, MIN_TRIAL_MILLIS + TRIAL_FACTOR * longest)
        : Math.min(MAX_FIRST_TRIAL_MILLIS, MIN_TRIAL_MILLIS + TRIAL_FACTOR * quickest);
  }

  private static boolean isSuitable(StepRun step, WorkerView worker) {
    return Placer.matches(step.spec, worker)
        && Placer.slotsIfEmpty(step, worker) > 0
        && (step.advice == null || !step.advice.isRated(worker) || step.advice.isSuitable(worker));
  }

  /**
   * Returns the workers where a task, or a gang, may start alone now; reserves further ones as long
   * as those reserved have too little room.
   */
  List<WorkerView> workersFor(Task unit, int count, long now) {
    StepRun step = unit.step;
    String service = step.submission.spec().queue().service();
    List<WorkerView> reserved = new ArrayList<>();
    List<WorkerView> candidates = new ArrayList<>();
    int reservedInAll = 0;
    int emptied = 0;
    int workers = 0;
    long slots = 0;
    for (WorkerView worker : cell.workers.values()) {
      if (!worker.entry().service().equals(service) || !worker.listed) {
        continue;
      }
      workers++;
      reservedInAll += worker.trialUnit == null ? 0 : 1;
      emptied += worker.trialUnit == null || isVacant(worker, now) ? 0 : 1;
      if (worker.trialUnit == unit) {
        reserved.add(worker);
        slots += Placer.slotsIfEmpty(step, worker);
      } else if (worker.acceptsOrders(now) && isSuitable(step, worker)) {
        candidates.add(worker);
      }
    }
    candidates.sort(
        Comparator.comparing((WorkerView worker) -> isRatedSuitable(step, worker) ? 0 : 1)
            .thenComparingLong(TrialWorkers::countPersistentRuns)
            .thenComparingLong(WorkerView::usedProcessors));
    boolean exceedsLimits = step.isGang() && reservedInAll == reserved.size();
    long maxReserved = Math.max(1, Math.round(MAX_RESERVED_SHARE * workers));
    long maxEmptied = Math.max(1, Math.round(MAX_EMPTIED_SHARE * workers));
    for (WorkerView worker : candidates) {
      boolean vacant = isVacant(worker, now);
      if (slots < count
          && (exceedsLimits || reservedInAll < maxReserved && (vacant || emptied < maxEmptied))) {
        worker.trialUnit = unit;
        reserved.add(worker);
        reservedInAll++;
        emptied += vacant ? 0 : 1;
        slots += Placer.slotsIfEmpty(step, worker);
      }
    }
    reserved.forEach(worker -> worker.trialWantedAt = now);
    reserved.removeIf(worker -> !worker.isUsable(now) || !isVacant(worker, now));
    reserved.forEach(worker -> worker.trialSince = now);
    return reserved;
  }

  private static boolean isRatedSuitable(StepRun step, WorkerView worker) {
    return step.advice == null || step.advice.isSuitable(worker);
  }

  private static long countPersistentRuns(WorkerView worker) {
    return worker.runs.values().stream()
        .filter(run -> run.task != null && run.task.step.isPersistent())
        .count();
  }

  /** Returns whether nothing runs on a worker that could crash it. */
  private static boolean isVacant(WorkerView worker, long now) {
    for (Run run : worker.runs.values()) {
      if (!wasProvenBefore(run, now)) {
        return false;
      }
    }
    return true;
  }
}
