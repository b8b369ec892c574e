package org.hickorypier.core.preemption;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses less urgent runs to stop so that all waiting tasks of a step fit on suitable workers.
 *
 * <p>Invariant: a plan has room for all tasks, within the limit of the step's customer, and loses
 * no more than a fixed share of the step's own work. Stateless and thread-safe.
 */
public final class PreemptionPlanner {

  /** An interrupted task must get some work done before it is interrupted again. */
  public static final long MIN_INTERRUPTION_INTERVAL_MILLIS = 10_000;

  /**
   * A step loses at most one part in this many of its own work. Above that, the interruptions cost
   * the other customers more than the step gains.
   */
  private static final int WORK_PER_LOSS = 4;

  private static final long MILLI = 1_000;

  /**
   * Plans the stops for a step.
   *
   * @param request the step and the bounds
   * @param candidates the runs that may be stopped
   * @return the plan with the least loss that was found, of runs that still meet their objective if
   *     these suffice; empty if the step cannot be given room within the bounds
   */
  public Optional<PreemptionPlan> plan(
      PreemptionRequest request, List<PreemptionCandidate> candidates) {
    boolean sameCustomer = request.sameCustomerOnly() || request.isLimitBinding();
    List<PreemptionCandidate> eligible =
        candidates.stream()
            .filter(run -> run.priority() > request.priority())
            .filter(run -> run.sinceInterruptionMillis() >= MIN_INTERRUPTION_INTERVAL_MILLIS)
            .filter(run -> !sameCustomer || run.customer().equals(request.customer()))
            .filter(PreemptionCandidate::staysUseful)
            .toList();
    List<PreemptionCandidate> punctual =
        eligible.stream().filter(PreemptionCandidate::meetsObjective).toList();
    return attempt(request, punctual)
        .or(
            () ->
                punctual.size() == eligible.size() ? Optional.empty() : attempt(request, eligible));
  }

  private static Optional<PreemptionPlan> attempt(
      PreemptionRequest request, List<PreemptionCandidate> candidates) {
    StopSelection selection = new StopSelection(request, candidates);
    if (!selection.makeRoomForTasks()
        || !selection.stopUntil(selection::sparesReserve, run -> true)
        || !selection.stopUntil(
            selection::fitsLimit, run -> run.customer().equals(request.customer()))) {
      return Optional.empty();
    }
    List<PreemptionCandidate> victims = selection.victims();
    long loss = victims.stream().mapToLong(run -> lossCoreMillis(request, run)).sum();
    long work =
        request.taskCount() * request.taskSize().milliProcessors() * request.runMillis() / MILLI;
    long stopped = victims.stream().mapToLong(run -> run.size().milliProcessors()).sum();
    if (loss * WORK_PER_LOSS > work || stopped > request.stoppableMilliProcessors()) {
      return Optional.empty();
    }
    return Optional.of(new PreemptionPlan(victims, selection.tasksByWorker(), loss));
  }

  /** Returns the work that is lost if a run is stopped, in core-milliseconds. */
  static long lossCoreMillis(PreemptionRequest request, PreemptionCandidate run) {
    return run.size().milliProcessors()
        * (run.unsavedMillis() + request.interruptionMillis())
        / MILLI;
  }

  /** Returns the runs of a list that satisfy a condition. */
  static List<PreemptionCandidate> select(
      List<PreemptionCandidate> runs, Predicate<PreemptionCandidate> condition) {
    return runs.stream().filter(condition).toList();
  }
}
