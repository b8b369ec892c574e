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
  private static final long LOOKAHEAD_MILLIS = 1_200;

  private final CellState cell;
  private final Set<StepRun> upcoming = new LinkedHashSet<>();

  UpcomingSteps(CellState cell) {
    this.cell = cell;
  }

  /** Returns the steps that are about to have their turn, without those that have had it. */
  List<StepRun> upcoming() {
    upcoming.removeIf(
        step -> !step.submission.isLive() || cell.readySteps.contains(step) || !isUpcoming(step));
    return new ArrayList<>(upcoming);
  }

  private static boolean isUpcoming(StepRun step) {
    return step.allTasksWaiting() || mayLoseRun(step);
  }

  /** Tells whether a task that lasts has its run on a worker that may be lost. */
  private static boolean mayLoseRun(StepRun step) {
    if (!step.isPersistent()) {
      return false;
    }
    for (Task task : step.tasks) {
      if (task.currentRun != null && task.currentRun.worker.silent) {
        return true;
      }
    }
    return false;
  }

  /** Notes the first steps of a submission that is being written. */
  void addFirstSteps(Submission submission) {
    if (submission.spec().scheduled()) {
      return;
    }
    for (StepRun step : submission.occurrences[0]) {
      if (step.spec.dependsOn().isEmpty() && needsAdviceAhead(step)) {
        upcoming.add(step);
      }
    }
  }

  /** Notes the steps of which all that comes before is nearly done, or that lose a run. */
  void addUpcomingSteps(long now) {
    for (Submission submission : cell.submissions.values()) {
      if (submission.durable && submission.isLive()) {
        for (StepRun[] steps : submission.occurrences) {
          addUpcomingSteps(steps, now);
        }
      }
    }
  }

  private void addUpcomingSteps(StepRun[] steps, long now) {
    for (StepRun step : steps) {
      boolean later = !step.spec.dependsOn().isEmpty() && !cell.readySteps.contains(step);
      if (later
          && !step.isDone()
          && step.allTasksWaiting()
          && needsAdviceAhead(step)
          && isNearlyReady(step, steps, now)) {
        upcoming.add(step);
      }
      if (step.advice != null && mayLoseRun(step)) {
        upcoming.add(step);
      }
    }
  }

  /** What is not urgent has time to spare, and its questions take the advisor half a second. */
  private boolean needsAdviceAhead(StepRun step) {
    return step.advice != null && !step.submission.exceedsShare && cell.isUrgent(step);
  }

  private boolean isNearlyReady(StepRun step, StepRun[] steps, long now) {
    boolean running = false;
    for (int earlier : step.spec.dependsOn()) {
      running |= !steps[earlier].isDone();
      if (!steps[earlier].isDone() && !isNearlyDone(steps[earlier], now)) {
        return false;
      }
    }
    return running;
  }

  private boolean isNearlyDone(StepRun step, long now) {
    String queue = step.submission.spec().queue().name();
    long usual = cell.learnedWork.atLeast(queue, step.spec.estimateMillis());
    for (Task task : step.tasks) {
      if (!task.done && !endsBy(now + LOOKAHEAD_MILLIS, task.currentRun, usual)) {
        return false;
      }
    }
    return true;
  }

  private static boolean endsBy(long time, Run run, long usualMillis) {
    return run != null && run.confirmed() && !run.stopping && run.confirmedAt + usualMillis <= time;
  }
}
