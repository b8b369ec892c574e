package org.hickorypier.core.cell;

import java.util.Collection;

/**
 * Moves tasks away from workers that are slow or stalled.
 *
 * <p>Load: a few workers run tasks six times slower for some seconds, or accept orders and then
 * make no progress, while they answer all requests and count as healthy. Failure prevented: a step
 * is done only with its last task, so one such worker in ten delays half of the short checks past
 * their objective; a check of 0.8 s took 5.6 s. Workers report the progress of each run, so its
 * remaining time can be compared with the time of a new run on another worker. Confined to the
 * control thread.
 */
final class StragglerDetector {

  /**
   * Time over which the pace of a run is computed, as a fraction of its expected run time; never
   * less than {@link #MIN_WINDOW_MILLIS}.
   */
  private static final double WINDOW_FRACTION = 0.12;

  private static final long MIN_WINDOW_MILLIS = 200;

  /**
   * Minimum ratio of the remaining time of a run to its expected time on its worker, and to the
   * time of a new run on another worker, for the task to be moved. The tasks of a step differ by
   * 0.3 and estimates by a fifth, which with the error of the speeds is a factor of 1.8 together.
   */
  private static final double MIN_SLOWDOWN_FACTOR = 2;

  /**
   * Approximate time of a move: a stop, the report of it, a ticket and the order of the next run.
   * It is used unless the settings say that a stop and a restore take longer.
   */
  private static final long MOVE_MILLIS = 300;

  /**
   * Margin for the error of a worker's speed, in standard errors. A worker without samples may be
   * slow by nature, which is no reason to move all of its first tasks.
   */
  private static final double SPEED_MARGIN_ERRORS = 1.5;

  /**
   * Number of slow runs on a worker, with none of the usual pace, from which on they show that the
   * worker is disturbed. Where three in a hundred tasks are seven times as long, a sixth of the
   * tasks that run at a time are long, and three of them often meet on a worker.
   */
  private static final int MIN_SLOW_RUNS = 4;

  /**
   * Length of the longest tasks, as a multiple of the expected run time. A run that gains not one
   * percent in the time that such a task takes for it has stalled.
   */
  private static final double LONGEST_TASK_RATIO = 20;

  /** Share of a queue's runs from which on its tasks count as known to be that long. */
  private static final double MIN_LONG_TASK_SHARE = 0.004;

  /** Part of the length that a run seems to have from which on other tasks count as that long. */
  private static final double LONG_TASK_RATIO_SHARE = 0.5;

  /** Maximum number of moves of a task. A task that was moved so often is slow by itself. */
  private static final int MAX_MOVES = 2;

  /**
   * Time for which a slow worker gets no orders; it doubles each time the worker is found slow
   * again.
   */
  private static final long SLOW_BACKOFF_MILLIS = 1_500;

  private static final int MAX_DOUBLINGS = 2;

  /**
   * At most one worker in this many may be in backoff. If more seem slow, the expected run time is
   * wrong, not the workers.
   */
  private static final int WORKERS_PER_SLOW_WORKER = 3;

  /** Number of workers in backoff below which the expected run time is not doubted. */
  private static final int MIN_WORKERS_TO_DOUBT_ESTIMATE = 3;

  /** What shows that a run is slow because its worker is disturbed. */
  private enum Sign {
    /** Nothing does: the task is long by itself. */
    NONE,
    /** Another run was moved away from the worker a moment ago. */
    KNOWN_DISTURBED,
    /** The run makes no progress. */
    STALLED,
    /** The run was faster before. */
    SLOWED_DOWN,
    /** All runs on the worker are slow. */
    ALL_SLOW,
    /** The queue is not known to have tasks that take so long. */
    NO_TASK_AS_LONG
  }

  /**
   * Largest probability that all runs of a worker are long by chance for them to show that the
   * worker is disturbed.
   */
  private static final double MAX_CHANCE_OF_LONG_RUNS = 0.001;

  /**
   * Share of long runs from which on a slow run counts as long even on a worker that is known to be
   * disturbed.
   */
  private static final double MAX_LONG_SHARE_OF_DISTURBED = 0.5;

  /** Progress from which on a run without checkpoints is not moved, as a remaining fraction. */
  private static final double MIN_REMAINING_FRACTION = 0.5;

  private final CellState cell;
  private final RunController runs;

  /** Until when no further line is logged of expected run times that are wrong. */
  private long estimateDoubtedUntil;

  StragglerDetector(CellState cell, RunController runs) {
    this.cell = cell;
    this.runs = runs;
  }

  /** Records the progress of a run. */
  void recordProgress(Run run, int percent, long clockMillis, long now) {
    if (!isWatched(run)) {
      return;
    }
    if (run.pace == null) {
      run.pace = new RunPace(run.resumed);
      if (run.orderCopies > 0 && !run.resumed) {
        run.pace.addSample(clockMillis - (now - run.confirmedAt), 0, windowMillis(run));
      }
    }
    run.pace.addSample(clockMillis, percent, windowMillis(run));
  }

  /**
   * Checks all runs of a worker that has just reported their progress, and moves those that
   * straggle.
   */
  void moveStragglers(WorkerView worker, long now) {
    for (Run run : CellState.copy(worker.runs.values())) {
      if (isWatched(run) && isPaceKnown(run) && isSlow(run)) {
        Sign sign = signOfDisturbance(run, now);
        if (sign != Sign.NONE && isWorthMoving(run, sign) && mayMove(run, now)) {
          move(run, sign, now);
        }
      }
    }
  }

  /**
   * Returns whether the pace of a run says something about its worker. A gang progresses as a
   * whole, a persistent task is never done, and a gap-filling task progresses as other tasks leave
   * it resources, so none of these is watched.
   */
  private static boolean isWatched(Run run) {
    return run.task != null
        && run.isConfirmed()
        && !run.stopping
        && run.task.currentRun == run
        && !run.task.step.isGang()
        && !run.task.step.spec.flags().persistent()
        && !run.task.step.spec.flags().opportunistic();
  }

  /** Returns the expected run time of a task at the usual worker speed. */
  private long expectedMillis(Run run) {
    StepRun step = run.task.step;
    String queue = queueName(run);
    return Math.max(
        step.longestRunMillis,
        cell.durationEstimator.expectedMillis(queue, step.spec.estimateMillis()));
  }

  private static String queueName(Run run) {
    return run.task.step.submission.spec().queue().name();
  }

  private long windowMillis(Run run) {
    return Math.max(MIN_WINDOW_MILLIS, Math.round(WINDOW_FRACTION * expectedMillis(run)));
  }

  /**
   * Returns whether the pace of a run can be judged. Before any run of the queue has ended, the
   * only reference is the callers' estimates, which are off by up to 90%.
   */
  private boolean isPaceKnown(Run run) {
    return run.pace != null
        && cell.durationEstimator.isKnown(queueName(run))
        && run.pace.isKnown(windowMillis(run));
  }

  /** Returns whether a run is much slower than its task is expected to be on its worker. */
  private boolean isSlow(Run run) {
    double slowest = Math.exp(SPEED_MARGIN_ERRORS * run.worker.speedUncertainty());
    double expectedMillis = expectedMillis(run) * run.worker.speedFactor() * slowest;
    return run.pace.remainingMillis()
        > MIN_SLOWDOWN_FACTOR * run.pace.remainingFraction() * expectedMillis;
  }

  /**
   * Returns what shows that a slow run is the fault of its worker, not of a long task. Without any
   * other sign, the run is taken for a long task if another run there has the usual pace, or if the
   * queue is known to have such tasks. A task that was slow on another worker before is long unless
   * its run stalls or slows down.
   */
  private Sign signOfDisturbance(Run run, long now) {
    if (isStalled(run)) {
      return Sign.STALLED;
    }
    if (run.pace.hasSlowedDown(MIN_SLOWDOWN_FACTOR, windowMillis(run))) {
      return Sign.SLOWED_DOWN;
    }
    double ratio = lengthRatio(run);
    if (run.task.migrations > 0 || run.task.longByItself) {
      recordLongTask(run, ratio, now);
      return Sign.NONE;
    }
    if (isEstimateWrong(run.worker, now)) {
      recordLongTask(run, ratio, now);
      return Sign.NONE;
    }
    double longRunShare = longRunShare(run, ratio);
    if (now < run.worker.slowBackoffUntil && longRunShare < MAX_LONG_SHARE_OF_DISTURBED) {
      return Sign.KNOWN_DISTURBED;
    }
    int slow = 0;
    int usual = 0;
    for (Run other : run.worker.runs.values()) {
      if (isWatched(other) && isPaceKnown(other)) {
        slow += isSlow(other) ? 1 : 0;
        usual += isSlow(other) ? 0 : 1;
      }
    }
    if (slow >= MIN_SLOW_RUNS
        && usual == 0
        && Math.pow(longRunShare, slow) < MAX_CHANCE_OF_LONG_RUNS) {
      return Sign.ALL_SLOW;
    }
    if (usual > 0) {
      recordLongTask(run, ratio, now);
      return Sign.NONE;
    }
    double share = cell.durationEstimator.shareFrom(queueName(run), LONG_TASK_RATIO_SHARE * ratio);
    return share < MIN_LONG_TASK_SHARE ? Sign.NO_TASK_AS_LONG : Sign.NONE;
  }

  /**
   * Returns the share of the queue's runs at a time that are as long as a run. A long task runs for
   * longer, so the share exceeds that of the tasks.
   */
  private double longRunShare(Run run, double ratio) {
    double share = cell.durationEstimator.shareFrom(queueName(run), LONG_TASK_RATIO_SHARE * ratio);
    double longTime = share * ratio;
    return longTime / (longTime + 1 - share);
  }

  /**
   * Returns whether so many workers are in backoff that another slow one shows that the expected
   * run time is wrong.
   */
  private boolean isEstimateWrong(WorkerView worker, long now) {
    boolean wrong =
        now >= worker.slowBackoffUntil
            && countBackedOff(worker.entry().service(), now) >= MIN_WORKERS_TO_DOUBT_ESTIMATE
            && isBackoffLimitReached(worker.entry().service(), now);
    if (wrong && now >= estimateDoubtedUntil) {
      estimateDoubtedUntil = now + SLOW_BACKOFF_MILLIS;
      cell.workerEvent("estimate-wrong", worker, "service", worker.entry().service());
    }
    return wrong;
  }

  private boolean isStalled(Run run) {
    double onePercentMillis = expectedMillis(run) * run.worker.speedFactor() / 100;
    return run.pace.stalledMillis()
        > Math.max(windowMillis(run), LONGEST_TASK_RATIO * onePercentMillis);
  }

  /** Returns how long the task takes at its present pace, as a multiple of the expected time. */
  private double lengthRatio(Run run) {
    double taskMillis = run.pace.remainingMillis() / Math.max(0.01, run.pace.remainingFraction());
    return taskMillis / (expectedMillis(run) * run.worker.speedFactor());
  }

  /** Counts a long task before it ends, which takes several times as long as for others. */
  private void recordLongTask(Run run, double ratio, long now) {
    if (!run.task.longByItself && run.task.migrations > 0) {
      run.task.longByItself = true;
      cell.recordMoveChange(run.task.step.submission, now);
    }
    if (!run.longByItself) {
      run.longByItself = true;
      cell.durationEstimator.recordLongTask(queueName(run), ratio);
    }
  }

  /** Returns whether a run ends much later than a new run on a worker of some speed would. */
  private boolean endsLaterThanOn(Run run, double factor) {
    boolean checkpoints = run.task.step.spec.flags().checkpoints();
    double remainingShare = checkpoints ? run.pace.remainingFraction() : 1;
    double elsewhereMillis =
        remainingShare * expectedMillis(run) * factor + moveMillis(checkpoints);
    return run.pace.remainingMillis() > MIN_SLOWDOWN_FACTOR * elsewhereMillis;
  }

  private long moveMillis(boolean restores) {
    return cell.timings
        .decisions()
        .interruption()
        .map(cost -> cost.stopMillis() + (restores ? cost.restoreMillis() : 0))
        .map(millis -> Math.max(MOVE_MILLIS, millis))
        .orElse(MOVE_MILLIS);
  }

  /** Returns whether little enough work is lost; a run that has stalled has no work to finish. */
  private static boolean isWorthMoving(Run run, Sign sign) {
    return sign == Sign.STALLED
        || run.task.step.spec.flags().checkpoints()
        || run.pace.remainingFraction() > MIN_REMAINING_FRACTION;
  }

  /**
   * Returns whether the task may be moved, since it would end sooner on another worker. A task that
   * is not urgent stays on its worker unless another worker has room for it: running slowly is
   * better than not running. An urgent one finds room soon, on a worker of the usual speed.
   */
  private boolean mayMove(Run run, long now) {
    if (run.task.migrations >= MAX_MOVES) {
      return false;
    }
    StepRun step = run.task.step;
    String service = step.submission.spec().queue().service();
    Collection<WorkerView> candidates = cell.acceptingWorkers(service, now);
    if (cell.isUrgent(step)) {
      return !candidates.isEmpty() && endsLaterThanOn(run, 1);
    }
    return candidates.stream()
        .anyMatch(
            worker ->
                worker != run.worker
                    && Placer.matches(step.spec, worker)
                    && (step.advice == null || step.advice.isSuitable(worker))
                    && Placer.freeSlots(step, worker) > 0
                    && endsLaterThanOn(run, worker.speedFactor()));
  }

  private void move(Run run, Sign sign, long now) {
    Task task = run.task;
    task.migrations++;
    cell.recordMoveChange(task.step.submission, now);
    task.avoidedWorker = run.worker;
    cell.runEvent(
        "run-too-slow",
        run.key,
        run.worker,
        "percent",
        run.percent,
        "left_ms",
        run.pace.remainingMillis(),
        "expected_ms",
        expectedMillis(run),
        "speed",
        run.worker.speedFactor(),
        "sign",
        sign);
    backOff(run.worker, now);
    runs.stop(run, now);
  }

  private void backOff(WorkerView worker, long now) {
    if (now < worker.slowBackoffUntil || isBackoffLimitReached(worker.entry().service(), now)) {
      return;
    }
    long backoffMillis = SLOW_BACKOFF_MILLIS << Math.min(MAX_DOUBLINGS, worker.slowStreak);
    worker.slowStreak++;
    worker.slowBackoffUntil = now + backoffMillis;
    cell.workerEvent("worker-slow", worker, "streak", worker.slowStreak, "for_ms", backoffMillis);
  }

  private boolean isBackoffLimitReached(String service, long now) {
    int all = 0;
    for (WorkerView worker : cell.workers.values()) {
      all += worker.listed && worker.entry().service().equals(service) ? 1 : 0;
    }
    return (countBackedOff(service, now) + 1) * WORKERS_PER_SLOW_WORKER > all;
  }

  private int countBackedOff(String service, long now) {
    int backedOff = 0;
    for (WorkerView worker : cell.workers.values()) {
      boolean counts = worker.listed && worker.entry().service().equals(service);
      backedOff += counts && now < worker.slowBackoffUntil ? 1 : 0;
    }
    return backedOff;
  }
}
