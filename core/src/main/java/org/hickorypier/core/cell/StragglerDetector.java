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
   * Minimum ratio of the remaining time of a run to the time of a new run on another worker for the
   * task to be moved. Healthy workers differ by a third, the tasks of a step by a sixth and
   * estimates by a fifth, which is a factor of 1.8 together.
   */
  private static final double MIN_SLOWDOWN_FACTOR = 2;

  /**
   * Approximate time of a move: a stop, the report of it, a ticket and the order of the next run.
   */
  private static final long MOVE_MILLIS = 300;

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

  private final CellState cell;
  private final RunController runs;

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
      if (isWatched(run) && isStraggling(run) && mayMove(run, now)) {
        move(run, now);
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

  private long expectedMillis(Run run) {
    StepRun step = run.task.step;
    String queue = step.submission.spec().queue().name();
    return Math.max(
        step.longestRunMillis,
        cell.durationEstimator.expectedMillis(queue, step.spec.estimateMillis()));
  }

  private long windowMillis(Run run) {
    return Math.max(MIN_WINDOW_MILLIS, Math.round(WINDOW_FRACTION * expectedMillis(run)));
  }

  /**
   * Compares the remaining time of a run with the time of a new run on another worker. Before any
   * run of the queue has ended, the only reference is the callers' estimates, which are off by up
   * to 90%.
   */
  private boolean isStraggling(Run run) {
    String queue = run.task.step.submission.spec().queue().name();
    if (run.pace == null
        || !cell.durationEstimator.isKnown(queue)
        || !run.pace.isKnown(windowMillis(run))) {
      return false;
    }
    double remainingShare =
        run.task.step.spec.flags().checkpoints() ? run.pace.remainingFraction() : 1;
    double elsewhereMillis = remainingShare * expectedMillis(run) + MOVE_MILLIS;
    return run.pace.remainingMillis() > MIN_SLOWDOWN_FACTOR * elsewhereMillis;
  }

  /**
   * Returns whether the task may be moved. A task that is not urgent stays on its worker unless
   * another worker has room for it: running slowly is better than not running.
   */
  private boolean mayMove(Run run, long now) {
    if (run.task.migrations >= MAX_MOVES) {
      return false;
    }
    StepRun step = run.task.step;
    String service = step.submission.spec().queue().service();
    Collection<WorkerView> candidates = cell.acceptingWorkers(service, now);
    if (cell.isUrgent(step)) {
      return !candidates.isEmpty();
    }
    return candidates.stream()
        .anyMatch(
            worker ->
                worker != run.worker
                    && Placer.matches(step.spec, worker)
                    && (step.advice == null || step.advice.isSuitable(worker))
                    && Placer.freeSlots(step, worker) > 0);
  }

  private void move(Run run, long now) {
    Task task = run.task;
    task.migrations++;
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
        expectedMillis(run));
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
    int backedOff = 0;
    int all = 0;
    for (WorkerView worker : cell.workers.values()) {
      if (worker.listed && worker.entry().service().equals(service)) {
        all++;
        backedOff += now < worker.slowBackoffUntil ? 1 : 0;
      }
    }
    return (backedOff + 1) * WORKERS_PER_SLOW_WORKER > all;
  }
}
