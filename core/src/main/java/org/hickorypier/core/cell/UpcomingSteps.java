package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Knows which steps are about to have their turn, so that the advisor is asked for them in advance.
 *
 * <p>Load: short checks of one to four steps, each of which asks the advisor before it starts. Harm
 * prevented: each question takes 70 ms from a step's turn to its first start, a seventh of what a
 * check has to spare for each step. Tickets last 2.5 s, longer than a check's step, so the question
 * can be asked while the submission is being written or the step before is at work. Belongs to the
 * control thread.
 */
final class UpcomingSteps {

  /** Within this time the step before must be done; with the call it is less than tickets last. */
  private static final long AHEAD_MILLIS = 1_200;

  private final CellState cell;
  private final Set<StepRun> soon = new LinkedHashSet<>();

  UpcomingSteps(CellState cell) {
    this.cell = cell;
  }

  /** Returns the steps that are about to have their turn, without those that have had it. */
  List<StepRun> soon() {
    soon.removeIf(step -> !step.submission.live() || cell.open.contains(step) || !due(step));
    return new ArrayList<>(soon);
  }

  private static boolean due(StepRun step) {
    return step.allIdle() || losesRun(step);
  }

  /** Tells whether a task that lasts has its run on a worker that may be lost. */
  private static boolean losesRun(StepRun step) {
    if (!step.lasting()) {
      return false;
    }
    for (Task task : step.tasks) {
      if (task.current != null && task.current.worker.silent) {
        return true;
      }
    }
    return false;
  }

  /** Notes the first steps of a submission that is being written. */
  void accepted(Submission submission) {
    if (submission.spec().isScheduled()) {
      return;
    }
    for (StepRun step : submission.occurrences[0]) {
      if (step.spec.dependsOn().isEmpty() && wanted(step)) {
        soon.add(step);
      }
    }
  }

  /** Notes the steps of which all that comes before is nearly done, or that lose a run. */
  void look(long now) {
    for (Submission submission : cell.submissions.values()) {
      if (submission.durable && submission.live()) {
        for (StepRun[] steps : submission.occurrences) {
          look(steps, now);
        }
      }
    }
  }

  private void look(StepRun[] steps, long now) {
    for (StepRun step : steps) {
      boolean later = !step.spec.dependsOn().isEmpty() && !cell.open.contains(step);
      if (later && !step.done() && step.allIdle() && wanted(step) && nearlyDue(step, steps, now)) {
        soon.add(step);
      }
      if (step.advice != null && losesRun(step)) {
        soon.add(step);
      }
    }
  }

  /** What is not urgent has time to spare, and its questions take the advisor half a second. */
  private boolean wanted(StepRun step) {
    return step.advice != null && !step.submission.beyondShare && cell.urgent(step);
  }

  private boolean nearlyDue(StepRun step, StepRun[] steps, long now) {
    boolean running = false;
    for (int earlier : step.spec.dependsOn()) {
      running |= !steps[earlier].done();
      if (!steps[earlier].done() && !nearlyDone(steps[earlier], now)) {
        return false;
      }
    }
    return running;
  }

  private boolean nearlyDone(StepRun step, long now) {
    String queue = step.submission.spec().queue().name();
    long usual = cell.learned.expectedMillis(queue, step.spec.estimateMillis());
    for (Task task : step.tasks) {
      if (!task.done && !endsBy(now + AHEAD_MILLIS, task.current, usual)) {
        return false;
      }
    }
    return true;
  }

  private static boolean endsBy(long time, Run run, long usualMillis) {
    return run != null
        && run.isConfirmed()
        && !run.stopping
        && run.confirmedAt + usualMillis <= time;
  }
}
