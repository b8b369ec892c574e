package org.hickorypier.core.cell;

import java.util.Collection;

/**
 * Takes tasks away from workers that have turned slow or stand still.
 *
 * <p>Load: a few workers do their work six times slower for some seconds, or start what they are
 * told and never get on with it, while they answer everything and count as well. Harm prevented: a
 * step is done with its last task, so one such worker in ten makes half of the short checks late; a
 * check of 0.8 s was seen to take 5.6 s. Workers tell how far each run is, so the time that it
 * takes yet can be compared with that of a new run elsewhere. Belongs to the control thread.
 */
final class Stragglers {

  /** The pace of a run is taken over so much of its usual length, and over this time at least. */
  private static final double WINDOW_PART = 0.12;

  private static final long LEAST_WINDOW_MILLIS = 200;

  /**
   * So much longer than a run elsewhere must the present one take yet. Sound workers differ by a
   * third, the tasks of a step by a sixth, and estimates by a fifth, 1.8 together.
   */
  private static final double CLEARLY_SLOWER = 2;

  /** A stop, the news of it, a ticket and the order of the next run take about so long. */
  private static final long MOVE_MILLIS = 300;

  /** A task that was moved so often is slow by itself. */
  private static final int MOST_MOVES = 2;

  /** A worker that was found slow gets nothing for this time; doubled each time it is found so. */
  private static final long SHUNNED_MILLIS = 1_500;

  private static final int MOST_DOUBLINGS = 2;

  /** If more than one worker in so many seems slow, the expectation is wrong, not the workers. */
  private static final int ONE_IN = 3;

  private final CellState cell;
  private final RunBook runs;

  Stragglers(CellState cell, RunBook runs) {
    this.cell = cell;
    this.runs = runs;
  }

  /** Notes how far a run is. */
  void seen(Run run, int percent, long clockMillis, long now) {
    if (!watched(run)) {
      return;
    }
    if (run.pace == null) {
      run.pace = new RunPace(run.resumed);
      if (run.copies > 0 && !run.resumed) {
        run.pace.seen(clockMillis - (now - run.confirmedAt), 0, windowMillis(run));
      }
    }
    run.pace.seen(clockMillis, percent, windowMillis(run));
  }

  /** Looks at all runs of a worker that has just told how far they are. */
  void look(WorkerView worker, long now) {
    for (Run run : CellState.copy(worker.runs.values())) {
      if (watched(run) && straggles(run) && mayMove(run, now)) {
        move(run, now);
      }
    }
  }

  /**
   * A gang gets on as a whole, what lasts is never done, and what fills gets on as others leave it
   * room: none of them has a pace that tells of its worker.
   */
  private static boolean watched(Run run) {
    return run.task != null
        && run.confirmed()
        && !run.stopping
        && run.task.currentRun == run
        && !run.task.step.isGang()
        && !run.task.step.spec.flags().persistent()
        && !run.task.step.spec.flags().fills();
  }

  private long expectedMillis(Run run) {
    StepRun step = run.task.step;
    String queue = step.submission.spec().queue().name();
    return Math.max(
        step.longestRunMillis, cell.learnedWork.atLeast(queue, step.spec.estimateMillis()));
  }

  private long windowMillis(Run run) {
    return Math.max(LEAST_WINDOW_MILLIS, Math.round(WINDOW_PART * expectedMillis(run)));
  }

  /**
   * Compares what a run takes yet with a new run elsewhere. Before anything has ended there is
   * nothing to compare with but callers' estimates, which are off by up to nine tenths.
   */
  private boolean straggles(Run run) {
    String queue = run.task.step.submission.spec().queue().name();
    if (run.pace == null || !cell.learnedWork.known(queue) || !run.pace.known(windowMillis(run))) {
      return false;
    }
    double again = run.task.step.spec.flags().checkpoints() ? run.pace.partLeft() : 1;
    double elsewhere = again * expectedMillis(run) + MOVE_MILLIS;
    return run.pace.remainingMillis() > CLEARLY_SLOWER * elsewhere;
  }

  /** What is not urgent stays where it is unless there is room elsewhere: slow beats not at all. */
  private boolean mayMove(Run run, long now) {
    if (run.task.migrations >= MOST_MOVES) {
      return false;
    }
    StepRun step = run.task.step;
    String service = step.submission.spec().queue().service();
    Collection<WorkerView> taking = cell.acceptingWorkers(service, now);
    if (cell.isUrgent(step)) {
      return !taking.isEmpty();
    }
    return taking.stream()
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
    shun(run.worker, now);
    runs.stop(run, now);
  }

  private void shun(WorkerView worker, long now) {
    if (now < worker.shunnedUntil || tooManyShunned(worker.entry().service(), now)) {
      return;
    }
    long length = SHUNNED_MILLIS << Math.min(MOST_DOUBLINGS, worker.slowStreak);
    worker.slowStreak++;
    worker.shunnedUntil = now + length;
    cell.workerEvent("worker-slow", worker, "streak", worker.slowStreak, "for_ms", length);
  }

  private boolean tooManyShunned(String service, long now) {
    int shunned = 0;
    int all = 0;
    for (WorkerView worker : cell.workers.values()) {
      if (worker.listed && worker.entry().service().equals(service)) {
        all++;
        shunned += now < worker.shunnedUntil ? 1 : 0;
      }
    }
    return (shunned + 1) * ONE_IN > all;
  }
}
