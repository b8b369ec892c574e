package org.hickorypier.core.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.preemption.PreemptionCandidate;
import org.hickorypier.core.preemption.PreemptionPlan;
import org.hickorypier.core.preemption.PreemptionPlanner;
import org.hickorypier.core.preemption.PreemptionRequest;
import org.hickorypier.core.preemption.Room;
import org.hickorypier.core.preemption.WorkerRoom;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;

/**
 * Turns the state of the cell into the inputs of {@link PreemptionPlanner} and carries its plans
 * out.
 *
 * <p>Invariants: work of the highest priority, 0, never preempts, since the reserve for urgent work
 * serves it; at most a tenth of the cell's cores is stopped within a second. Confined to the
 * control thread.
 */
final class PreemptionController {

  /**
   * Time after the longest stop until a stopped run has left its worker's report, which arrives
   * several times a second.
   */
  static final long SETTLE_MILLIS = 300;

  /** At most one core in this many is stopped within {@link #STOP_WINDOW_MILLIS}. */
  private static final int CORES_PER_STOPPED_CORE = 10;

  private static final long STOP_WINDOW_MILLIS = 1_000;

  /**
   * Share of its remaining run time by which a step preempts before the last moment. Run times of a
   * queue vary by about a fifth.
   */
  private static final double MARGIN_FRACTION = 0.25;

  /** Interval of the plans of one step; a plan looks at all runs of the suitable workers. */
  private static final long PLAN_INTERVAL_MILLIS = 200;

  /**
   * Bounds the processor time of plans, together with {@link #PLAN_WINDOW_MILLIS}, to a hundredth
   * of a core: with 245 workers a plan takes 0.06 ms.
   */
  private static final int MAX_PLANS_PER_WINDOW = 4;

  private static final long PLAN_WINDOW_MILLIS = 25;

  private final CellState cell;
  private final RunController runs;
  private final PreemptionPlanner planner = new PreemptionPlanner();
  private final Deque<Stopped> recentStops = new ArrayDeque<>();
  private long planWindowStart;
  private int plansInWindow;

  /** Capacity that was stopped at a time. */
  private record Stopped(long at, long milliProcessors) {}

  /** A plan in terms of the cell. */
  record Planned(Map<WorkerView, Resources> resources, List<Run> victims, long lossCoreMillis) {}

  PreemptionController(CellState cell, RunController runs) {
    this.cell = cell;
    this.runs = runs;
  }

  /** Returns how long the stops of a plan take at most, in milliseconds. */
  long stopMillis() {
    return cell.timings.decisions().interruption().map(InterruptionCost::stopMillis).orElse(0L)
        + SETTLE_MILLIS;
  }

  /**
   * Tells whether a step is of a kind for which other runs are stopped. Where its tickets lapse
   * before the stops are done, it could never start in their room.
   */
  boolean mayPreempt(StepRun step) {
    DecisionSettings decisions = cell.timings.decisions();
    StepFlags flags = step.spec.flags();
    return decisions.preemption()
        && decisions.interruption().isPresent()
        && step.submission.spec().queue().priority() > 0
        && !flags.persistent()
        && !flags.opportunistic()
        && (step.advice == null || step.advice.newTicketsOutlast(stopMillis()));
  }

  /**
   * Tells whether a step would miss its objective if it waited, and is still of use if it starts
   * after a stop.
   */
  boolean isDue(StepRun step, long now) {
    if (now - planWindowStart >= PLAN_WINDOW_MILLIS) {
      planWindowStart = now;
      plansInWindow = 0;
    }
    if (plansInWindow >= MAX_PLANS_PER_WINDOW
        || now < step.nextPreemptionAt
        || !isTight(step, now)
        || !cell.usage.isConfigured()
        || !mayStartAllTasks(step)
        || cell.headroom.blockerOf(step, step.waitingCount(), now) != null) {
      return false;
    }
    plansInWindow++;
    step.nextPreemptionAt = now + PLAN_INTERVAL_MILLIS;
    return true;
  }

  /** Tells the same as {@link #isDue} by the times alone. */
  boolean isTight(StepRun step, long now) {
    if (!mayPreempt(step)) {
      return false;
    }
    long chain = remainingChainMillis(step);
    long call =
        step.advice == null ? 0 : Math.round(step.advice.terms.callMillis(step.tasks.length));
    long earliestEnd = now + call + stopMillis() + chain;
    long objective = step.submission.objectiveMillis(cell.durationEstimator);
    long deadline = step.submission.acceptedAt + objective;
    return earliestEnd + MARGIN_FRACTION * chain >= deadline
        && earliestEnd
            <= step.submission.acceptedAt + UrgencyOrder.USEFUL_OBJECTIVE_FACTOR * objective;
  }

  /** Tasks that have lost runs start by rules of their own, for which no other run is stopped. */
  private static boolean mayStartAllTasks(StepRun step) {
    if (step.isGang() ? !step.allTasksWaiting() : !step.hasWaitingTasks()) {
      return false;
    }
    for (Task task : step.tasks) {
      CrashHistory crashes = task.crashUnit().crashes;
      if (task.isWaiting() && crashes != null && !crashes.isEmpty()) {
        return false;
      }
    }
    return true;
  }

  /** Returns the expected duration of a step and of the longest chain of steps after it. */
  private long remainingChainMillis(StepRun step) {
    return step.submission.pathMillisFrom(step, cell.durationEstimator);
  }

  private long expectedMillis(StepRun step) {
    String queue = step.submission.spec().queue().name();
    return cell.durationEstimator.expectedMillis(queue, step.spec.estimateMillis());
  }

  /**
   * Plans the stops for all waiting tasks of a step.
   *
   * @param workers the workers that accept orders and may run the step
   * @param unreservedMilliProcessors free capacity beside the reserve for urgent work
   */
  Optional<Planned> plan(
      StepRun step, Collection<WorkerView> workers, long unreservedMilliProcessors, long now) {
    List<Run> candidateRuns = new ArrayList<>();
    List<PreemptionCandidate> candidates = new ArrayList<>();
    Map<String, List<WorkerRoom>> racks = new LinkedHashMap<>();
    for (WorkerView worker : workers) {
      if (!Placer.matches(step.spec, worker)) {
        continue;
      }
      racks
          .computeIfAbsent(worker.incarnation().rack(), rack -> new ArrayList<>())
          .add(roomOn(step, worker, now));
      for (Run run : worker.runs.values()) {
        if (isCandidate(step, run, now)) {
          candidates.add(candidate(step, Integer.toString(candidateRuns.size()), run, now));
          candidateRuns.add(run);
        }
      }
    }
    boolean oneRack = step.isGang() && step.spec.flags().sameRack();
    Optional<PreemptionPlan> plan =
        oneRack
            ? best(step, racks.values(), candidates, unreservedMilliProcessors, now)
            : Optional.empty();
    if (plan.isEmpty() && (!oneRack || Placer.mayLeaveRack(step, now))) {
      List<WorkerRoom> all = racks.values().stream().flatMap(List::stream).toList();
      plan = best(step, List.of(all), candidates, unreservedMilliProcessors, now);
    }
    return plan.map(chosen -> inCell(step, chosen, candidateRuns));
  }

  /** Returns the plan with the least loss, each over one of several sets of workers. */
  private Optional<PreemptionPlan> best(
      StepRun step,
      Collection<List<WorkerRoom>> choices,
      List<PreemptionCandidate> candidates,
      long unreservedMilliProcessors,
      long now) {
    PreemptionPlan best = null;
    for (List<WorkerRoom> rooms : choices) {
      Optional<PreemptionRequest> request = request(step, rooms, unreservedMilliProcessors, now);
      PreemptionPlan plan =
          request.flatMap(bounds -> planner.plan(bounds, candidates)).orElse(null);
      if (plan != null && (best == null || plan.lossCoreMillis() < best.lossCoreMillis())) {
        best = plan;
      }
    }
    return Optional.ofNullable(best);
  }

  private Planned inCell(StepRun step, PreemptionPlan plan, List<Run> candidateRuns) {
    Map<WorkerView, Resources> resources = new LinkedHashMap<>();
    plan.tasksByWorker()
        .forEach(
            (id, count) ->
                resources.put(cell.workers.get(id), step.spec.taskResources().times(count)));
    List<Run> victims =
        plan.victims().stream().map(run -> candidateRuns.get(Integer.parseInt(run.run()))).toList();
    return new Planned(resources, victims, plan.lossCoreMillis());
  }

  /** Returns the request for a step; empty if another preemption may use up the limit first. */
  private Optional<PreemptionRequest> request(
      StepRun step, List<WorkerRoom> rooms, long unreservedMilliProcessors, long now) {
    String customer = step.submission.spec().customer();
    Resources each = step.spec.taskResources();
    Resources pending = pendingPreemptions(step);
    int waiting = step.waitingCount();
    if (!cell.usage.allows(customer, each.times(waiting).plus(pending), 1)
        && !pending.equals(Resources.NONE)) {
      return Optional.empty();
    }
    InterruptionCost cost = cell.timings.decisions().interruption().orElseThrow();
    return Optional.of(
        new PreemptionRequest(
            customer,
            step.submission.spec().queue().priority(),
            waiting,
            each,
            expectedMillis(step),
            rooms,
            unreservedMilliProcessors,
            cell.usage.room(customer),
            step.submission.exceedsShare,
            cost.stopMillis() + cost.restoreMillis(),
            stoppableMilliProcessors(now)));
  }

  /** Returns what other steps of the same customer will use that have begun to preempt. */
  private Resources pendingPreemptions(StepRun step) {
    Resources pending = Resources.NONE;
    for (StepRun other : cell.readySteps) {
      if (other != step
          && other.preemption != null
          && other.submission.spec().customer().equals(step.submission.spec().customer())) {
        pending = pending.plus(other.spec.taskResources().times(other.waitingCount()));
      }
    }
    return pending;
  }

  /**
   * Returns the free capacity of a worker, together with that of runs which are being stopped and
   * are not overdue; what is to be started there instead is reserved.
   */
  private WorkerRoom roomOn(StepRun step, WorkerView worker, long now) {
    long processors = worker.freeProcessors();
    long memory = worker.freeMemory();
    long accelerators = worker.freeAccelerators();
    for (Run run : worker.runs.values()) {
      if (run.interruptedAt > 0 && now - run.interruptedAt <= stopMillis()) {
        processors += run.size.milliProcessors();
        memory += run.size.memoryMebibytes();
        accelerators += run.size.accelerators();
      }
    }
    int antiAffinity = step.spec.antiAffinity();
    int maxTasks =
        antiAffinity > 0 ? Math.max(0, antiAffinity - step.countRunsOn(worker)) : Integer.MAX_VALUE;
    return new WorkerRoom(worker.id(), new Room(processors, memory, accelerators), maxTasks);
  }

  /** Returns how many tasks of a step a worker has room for once less urgent runs are stopped. */
  int slotsAfterStops(StepRun step, WorkerView worker, long now) {
    WorkerRoom room = roomOn(step, worker, now);
    long processors = room.free().milliProcessors();
    long memory = room.free().memoryMebibytes();
    for (Run run : worker.runs.values()) {
      if (isCandidate(step, run, now)) {
        processors += run.size.milliProcessors();
        memory += run.size.memoryMebibytes();
      }
    }
    long slots = Placer.tasksThatFit(step.spec, processors, memory, worker.freeAccelerators());
    return (int) Math.max(0, Math.min(slots, room.maxTasks()));
  }

  private boolean isCandidate(StepRun step, Run run, long now) {
    if (run.task == null
        || run.task.currentRun != run
        || !run.isConfirmed()
        || run.stopping
        || hasOverdueStop(run.worker, now)) {
      return false;
    }
    StepFlags flags = run.task.step.spec.flags();
    return flags.checkpoints()
        && !flags.persistent()
        && !flags.opportunistic()
        && !flags.gang()
        && run.task.step.submission.isLive()
        && run.task.step.submission.spec().queue().priority()
            > step.submission.spec().queue().priority();
  }

  /** Tells whether a worker has not carried out a stop in time; no more is stopped there. */
  private boolean hasOverdueStop(WorkerView worker, long now) {
    for (Run run : worker.runs.values()) {
      if (run.interruptedAt > 0 && now - run.interruptedAt > stopMillis()) {
        return true;
      }
    }
    return false;
  }

  private PreemptionCandidate candidate(StepRun preempting, String name, Run run, long now) {
    StepRun step = run.task.step;
    InterruptionCost cost = cell.timings.decisions().interruption().orElseThrow();
    long age = now - run.confirmedAt;
    long remaining = Math.max(0, remainingChainMillis(step) - age);
    // In a full cell the room comes back when the preempting step is done.
    long wait = expectedMillis(preempting);
    long end = now + remaining;
    long interruptedEnd = end + cost.longestLossMillis() + wait;
    long objective = step.submission.objectiveMillis(cell.durationEstimator);
    long accepted = step.submission.acceptedAt;
    long usefulUntil = accepted + UrgencyOrder.USEFUL_OBJECTIVE_FACTOR * objective;
    long interruptedAt = run.task.interruptedAt;
    return new PreemptionCandidate(
        name,
        run.worker.id(),
        run.customer,
        step.submission.spec().queue().priority(),
        run.size,
        Math.min(age, cost.saveMillis()),
        interruptedAt == 0 ? Long.MAX_VALUE : now - interruptedAt,
        interruptedEnd <= accepted + objective,
        interruptedEnd <= usefulUntil || !run.resumed && end > usefulUntil);
  }

  private long stoppableMilliProcessors(long now) {
    recentStops.removeIf(stopped -> now - stopped.at() >= STOP_WINDOW_MILLIS);
    long cores = 0;
    for (WorkerView worker : cell.workers.values()) {
      cores += worker.addsCapacity() ? worker.incarnation().capacity().milliProcessors() : 0;
    }
    long stopped = recentStops.stream().mapToLong(Stopped::milliProcessors).sum();
    return cores / CORES_PER_STOPPED_CORE - stopped;
  }

  /** Stops the runs of a plan, and reserves its room for the step until the stops are done. */
  void execute(StepRun step, Planned plan, long now) {
    long stopped = plan.victims().stream().mapToLong(run -> run.size.milliProcessors()).sum();
    recentStops.add(new Stopped(now, stopped));
    QueueTerms queue = step.submission.spec().queue();
    cell.submissionEvent(
        "preempting",
        step.submission,
        "step",
        step.occurrence + "." + step.index,
        "priority",
        queue.priority(),
        "tasks",
        step.waitingCount(),
        "victims",
        plan.victims().stream().map(run -> run.key.toString()).collect(Collectors.joining(" ")),
        "loss_core_ms",
        plan.lossCoreMillis(),
        "workers",
        plan.resources().keySet().stream().map(WorkerView::id).collect(Collectors.joining(" ")));
    plan.victims().forEach(run -> runs.interrupt(run, now));
    step.preemption =
        new StepPreemption(plan.resources(), plan.victims(), now + stopMillis(), false);
    cell.reservations.reserve(step, new StepReservation(plan.resources(), step.preemption.until()));
  }
}
