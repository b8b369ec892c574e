package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Attributes the losses of workers to the tasks that ran there.
 *
 * <p>A unit is what counts as one: a task, or a gang by its first member.
 *
 * <p>Invariants: a run counts as lost until its worker is back in the same incarnation or lists its
 * end; a task is given up only by {@link CrashPolicy}. Confined to the control thread.
 */
final class CrashTracker {

  /** A task that has run for so long starts with a clean history after its next loss. */
  private static final long SOUND_RUN_MILLIS = 30_000;

  /** The same for a task whose lost runs were much shorter. */
  private static final long MIN_SOUND_RUN_MILLIS = 5_000;

  /** A task that runs for this many times its longest lost run does not crash its worker. */
  private static final long OUTLIVED_FACTOR = 3;

  private final CellState cell;

  private final LostWorkers lostWorkers = new LostWorkers();
  private final CrashingTaskHandler crashingTasks;

  /** Tasks with lost runs; gangs by their first member. */
  private final Set<Task> suspects = new LinkedHashSet<>();

  CrashTracker(CellState cell, RunController runs) {
    this.cell = cell;
    this.crashingTasks = new CrashingTaskHandler(cell, runs);
  }

  /** Takes up the histories of a restored submission. */
  void restore(Submission submission) {
    for (StepRun[] steps : submission.occurrences) {
      for (StepRun step : steps) {
        for (Task task : step.tasks) {
          if (task.crashes != null) {
            suspects.add(task);
          }
        }
      }
    }
  }

  /**
   * Records that runs are lost with their worker, before they are removed.
   *
   * @param cause why they are known to be lost
   * @param lostAt since when they cannot have run
   * @param crashed whether the worker is known to have crashed
   */
  void handleLoss(
      WorkerView worker,
      Collection<Run> lost,
      String cause,
      long lostAt,
      boolean crashed,
      long now) {
    boolean seenAgain = crashed || hasNewerIncarnation(worker);
    boolean alone = TrialWorkers.isAlone(worker);
    // Weighed before any of the losses is recorded: they must not explain each other.
    Map<Run, Integer> weights = new LinkedHashMap<>();
    for (Run run : lost) {
      int decibans = countsAsLost(run) ? weigh(run, lostAt, now) : 0;
      weights.put(run, decibans);
      logLoss(run, cause, lostAt, decibans);
    }
    Map<Task, Integer> runNumbers = new LinkedHashMap<>();
    weights.forEach(
        (run, decibans) -> {
          if (countsAsLost(run)) {
            Task unit = run.task.crashUnit();
            if (unit.crashes == null) {
              unit.crashes = new CrashHistory();
            }
            LostRun.Kind kind =
                alone && worker.trialUnit == unit ? LostRun.Kind.ALONE : LostRun.Kind.BESIDE_OTHERS;
            long ranMillis = lostAt - run.orderedAt;
            unit.crashes.add(
                new LostRun(run.key.number(), kind, lostAt, ranMillis, decibans, seenAgain),
                worker.id());
            runNumbers.put(unit, run.key.number());
          }
        });
    suspects.addAll(runNumbers.keySet());
    for (Task unit : runNumbers.keySet()) {
      cell.recordChange(unit.step.submission);
      if (crashed) {
        announceNextRun(unit, now);
      }
    }
    if (!seenAgain && !runNumbers.isEmpty()) {
      lostWorkers.add(worker, lostAt, runNumbers);
    }
  }

  /** A worker that drains ends as announced, with all that is left on it. */
  private static boolean countsAsLost(Run run) {
    return run.task != null
        && !run.task.done
        && run.task.step.submission.isLive()
        && !run.worker.entry().draining();
  }

  private int weigh(Run run, long lostAt, long now) {
    Task unit = run.task.crashUnit();
    Map<Task, Double> others = new HashMap<>();
    for (Run beside : run.worker.runs.values()) {
      if (beside.task != null && beside.task.crashUnit() != unit) {
        others.merge(beside.task.crashUnit(), crashProbability(beside, lostAt), (one, two) -> one);
      }
    }
    double otherTasks = others.values().stream().mapToDouble(Double::doubleValue).sum();
    int workers = cell.countListedWorkers();
    double rate = cell.workerLosses.lossesPerMilli(unit, workers, cell.takenOverAt, now);
    return CrashEvidence.weigh(
        lostAt - run.orderedAt,
        rate * unit.step.countWorkersOf(unit),
        otherTasks,
        cell.workerLosses.shareLostTogether(unit, lostAt, workers));
  }

  /** Returns the probability that a run has crashed its worker, by the earlier runs of its task. */
  private static double crashProbability(Run run, long lostAt) {
    CrashHistory crashes = run.task.crashUnit().crashes;
    boolean outlived =
        crashes == null || lostAt - run.orderedAt > OUTLIVED_FACTOR * crashes.longestLostMillis();
    return CrashEvidence.crashProbability(outlived ? 0 : crashes.decibans());
  }

  private void logLoss(Run run, String cause, long lostAt, int decibans) {
    CrashHistory crashes = run.task == null ? null : run.task.crashUnit().crashes;
    cell.runEvent(
        "run-lost",
        run.key,
        run.worker,
        "cause",
        cause,
        "ran_ms",
        lostAt - run.orderedAt,
        "confirmed",
        run.isConfirmed(),
        "beside",
        run.worker.runs.size() - 1,
        "lost_before",
        crashes == null ? 0 : crashes.seenLosses(),
        "decibans",
        decibans,
        "decibans_before",
        crashes == null ? 0 : crashes.decibans());
  }

  private boolean hasNewerIncarnation(WorkerView worker) {
    for (WorkerView other : cell.workers.values()) {
      if (other.entry().address().equals(worker.entry().address())
          && other.entry().bornMillis() > worker.bornMillis()) {
        return true;
      }
    }
    return false;
  }

  /** Records that a worker has answered: it was cut off, or has crashed since it was lost. */
  void handleAnswer(WorkerView worker, long bornMillis) {
    LostWorker lost = lostWorkers.remove(worker.id());
    if (lost != null && bornMillis == lost.bornMillis()) {
      lost.runNumbers().forEach(this::withdraw);
    } else if (lost != null) {
      settle(lost, "worker-reborn");
    }
  }

  /** Records that a worker is listed; it may be the next incarnation of one that was lost. */
  void handleListed(WorkerEntry entry) {
    lostWorkers.removeReplacedBy(entry).forEach(lost -> settle(lost, "worker-replaced"));
  }

  private void settle(LostWorker lost, String cause) {
    cell.log.event(
        "run",
        "worker-crashed",
        "worker",
        lost.id(),
        "cause",
        cause,
        "runs",
        lost.runNumbers().size());
    lost.runNumbers()
        .forEach((unit, number) -> unit.crashes.settle(each -> each.number() == number.intValue()));
    cell.dirty = true;
  }

  /** Announces the next runs of the tasks of lost runs that can no longer be active. */
  void handleExpiry(Collection<Run> expired, long now) {
    for (Run run : expired) {
      if (countsAsLost(run) && run.task.crashUnit().crashes != null) {
        announceNextRun(run.task.crashUnit(), now);
      }
    }
  }

  /** Records that a run whose loss was recorded is active. */
  void withdrawLoss(Run run) {
    run.lossCounted = false;
    CrashHistory crashes = run.task == null ? null : run.task.crashUnit().crashes;
    if (crashes != null && crashes.has(run.key.number())) {
      withdraw(run.task.crashUnit(), run.key.number());
    }
  }

  private void withdraw(Task unit, int number) {
    boolean lost = unit.crashes.has(number);
    if (!unit.crashes.remove(number)) {
      return;
    }
    if (lost) {
      cell.submissionEvent(
          "run-loss-withdrawn",
          unit.step.submission,
          "task",
          CellState.taskPath(unit.name()),
          "run",
          number,
          "lost",
          unit.crashes.lostRuns().size());
    }
    cell.recordChange(unit.step.submission);
    cell.dirty = true;
  }

  /** Records that a worker has listed the end of a run, so that it has not crashed under it. */
  void handleEnd(Task task, int number) {
    Task unit = task.crashUnit();
    // The other members of a gang are stopped by their workers when one member is lost.
    boolean lostElsewhere = unit.step.isGang() && unit.crashes != null && unit.crashes.has(number);
    if (unit.crashes != null && !lostElsewhere) {
      withdraw(unit, number);
    }
  }

  /**
   * Tells whether a waiting task may start now. A task that has lost a run starts once its next run
   * is announced.
   */
  boolean mayStart(Task task, long now) {
    Task unit = task.crashUnit();
    if (unit.crashes == null || unit.crashes.isEmpty()) {
      return true;
    }
    CrashVerdict verdict = cell.crashVerdict(unit, now);
    if (verdict == CrashVerdict.WAIT || verdict == CrashVerdict.GIVE_UP) {
      return false;
    }
    announceNextRun(unit, now);
    return unit.crashes.isAnnounced(unit.step.nextRunNumber(unit));
  }

  /** Announces the next run of a task in the journal unless that was done. */
  private void announceNextRun(Task unit, long now) {
    int number = unit.step.nextRunNumber(unit);
    boolean workerLost = cell.workerLosses.hasAnySince(cell.takenOverAt);
    if (unit.crashes.announce(number, workerLost, now)) {
      cell.recordChange(unit.step.submission);
      cell.output.afterSave(
          () -> {
            unit.crashes.markAnnouncementDurable(number);
            cell.dirty = true;
          });
    }
  }

  void tick(long now) {
    lostWorkers.removeOverdue(now).forEach(lost -> settle(lost, "not-seen-again"));
    suspects.removeIf(
        unit ->
            !unit.step.submission.isLive()
                || unit.step.isDone()
                || unit.done
                || unit.crashes.isEmpty());
    for (Task unit : new ArrayList<>(suspects)) {
      Run run = unit.currentRun;
      boolean mayBeActive = run != null && run.lossCounted;
      if (!mayBeActive && cell.crashVerdict(unit, now) == CrashVerdict.GIVE_UP) {
        crashingTasks.giveUp(unit, now);
      } else if (hasRunSoundly(unit, now)) {
        unit.crashes.clear();
        cell.recordChange(unit.step.submission);
      }
    }
  }

  private static boolean hasRunSoundly(Task unit, long now) {
    Run run = unit.currentRun;
    if (run == null || !run.isConfirmed() || run.worker.silent) {
      return false;
    }
    long soundMillis =
        Math.max(MIN_SOUND_RUN_MILLIS, OUTLIVED_FACTOR * unit.crashes.longestLostMillis());
    return now - run.confirmedAt >= Math.min(SOUND_RUN_MILLIS, soundMillis);
  }
}
