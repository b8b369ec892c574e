package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the steps that are about to become ready, so that their advice is requested in advance.
 *
 * <p>Short checks have one to four steps, each of which needs advice before it starts. A request
 * after a step is ready delays its first start by 70 ms, a seventh of the time that a check has to
 * spare for each step. Tickets are valid for 2.5 s, longer than a step of a check runs, so the
 * request can be sent while the submission is being written or the previous step is running.
 * Confined to the control thread.
 */
final class UpcomingSteps {

  /**
   * Time within which the previous step must be expected to end. Together with the duration of the
   * request it is shorter than the validity of a ticket.
   */
  private static final long LOOKAHEAD_MILLIS = 1_200;

  private final CellState cell;
  private final Set<StepRun> upcoming = new LinkedHashSet<>();

  UpcomingSteps(CellState cell) {
    this.cell = cell;
  }

  /** Returns the steps that are about to become ready, without those that are ready or ended. */
  List<StepRun> upcoming() {
    upcoming.removeIf(
        step -> !step.submission.isLive() || cell.readySteps.contains(step) || !isUpcoming(step));
    return new ArrayList<>(upcoming);
  }

  private static boolean isUpcoming(StepRun step) {
    return step.allTasksWaiting() || mayLoseRun(step);
  }

  /** Tells whether a persistent task runs on a worker that may be lost. */
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

  /** Adds the first steps of a submission that is being written. */
  void addFirstSteps(Submission submission) {
    if (submission.spec().isScheduled()) {
      return;
    }
    for (StepRun step : submission.occurrences[0]) {
      if (step.spec.dependsOn().isEmpty() && needsAdviceAhead(step)) {
        upcoming.add(step);
      }
    }
  }

  /** Adds the steps whose dependencies are nearly done, and those that may lose a run. */
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
    Map<StepRun, Boolean> nearlyDone = new HashMap<>();
    for (StepRun step : steps) {
      boolean awaitsDependencies =
          !step.spec.dependsOn().isEmpty() && !cell.readySteps.contains(step);
      if (awaitsDependencies
          && !step.isDone()
          && step.allTasksWaiting()
          && needsAdviceAhead(step)
          && isNearlyReady(step, steps, nearlyDone, now)) {
        upcoming.add(step);
      }
      if (step.advice != null && mayLoseRun(step)) {
        upcoming.add(step);
      }
    }
  }

  /**
   * Tells whether a step needs its advice in advance. Work that is not urgent has time to spare,
   * and its requests take the advisor half a second.
   */
  private boolean needsAdviceAhead(StepRun step) {
    return step.advice != null && !step.submission.exceedsShare && cell.isUrgent(step);
  }

  /**
   * Tells whether the dependencies of a step are nearly done.
   *
   * @param nearlyDone what is known of the steps, since many steps may depend on a large one
   */
  private boolean isNearlyReady(
      StepRun step, StepRun[] steps, Map<StepRun, Boolean> nearlyDone, long now) {
    boolean running = false;
    for (int dependency : step.spec.dependsOn()) {
      StepRun earlier = steps[dependency];
      running |= !earlier.isDone();
      if (!earlier.isDone()
          && !nearlyDone.computeIfAbsent(earlier, each -> isNearlyDone(each, now))) {
        return false;
      }
    }
    return running;
  }

  private boolean isNearlyDone(StepRun step, long now) {
    String queue = step.submission.spec().queue().name();
    long estimateMillis = step.spec.estimateMillis();
    for (Task task : step.tasks) {
      if (!task.done && !endsSoon(task.currentRun, queue, estimateMillis, now)) {
        return false;
      }
    }
    return true;
  }

  private boolean endsSoon(Run run, String queue, long estimateMillis, long now) {
    if (run == null || !run.isConfirmed() || run.stopping) {
      return false;
    }
    // The progress of a resumed run is not in proportion to the time of this run. Either sign of
    // an early end suffices, since advice that comes too late delays the step.
    return remainingMillis(run, queue, estimateMillis, -1, now) <= LOOKAHEAD_MILLIS
        || !run.resumed
            && remainingMillis(run, queue, estimateMillis, run.percent, now) <= LOOKAHEAD_MILLIS;
  }

  private long remainingMillis(Run run, String queue, long estimateMillis, int percent, long now) {
    return cell.durationEstimator.remainingMillis(
        queue, estimateMillis, run.worker.speedFactor(), now - run.confirmedAt, percent);
  }
}
