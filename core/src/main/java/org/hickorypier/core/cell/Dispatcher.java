package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;

/**
 * Places waiting tasks on workers and requests the advice that their placement needs.
 *
 * <p>Confined to the control thread.
 */
final class Dispatcher {

  /** The advisor takes no more workers in one request. */
  private static final int MAX_WORKERS_PER_REQUEST = 100;

  /**
   * Bounds a request from below: workers that are named to several steps at the same time may be
   * full when the answer arrives.
   */
  private static final int MIN_WORKERS_PER_REQUEST = 10;

  /**
   * Expected room on suitable workers for each waiting task. Other steps take some of it while the
   * request is under way, and a task that fails needs another worker.
   */
  private static final double ROOM_PER_TASK = 3;

  /** Steps that each pass visits, so that passes go on where each has little time. */
  private static final int MIN_STEPS_PER_PASS = 16;

  /** Timeout of an advice request. */
  private static final long ADVICE_TIMEOUT_MILLIS = 4_000;

  /** Delay before the next request after one that failed or yielded no ticket. */
  private static final long ADVICE_RETRY_MILLIS = 500;

  private final CellState cell;
  private final RunController runs;
  private final UpcomingSteps upcomingSteps;
  private final CrashTracker crashTracker;
  private final TrialWorkers trialWorkers;
  private final PreemptionController preemptions;

  /** The steps that the last pass has not visited, in their order. */
  private List<StepRun> unvisited = List.of();

  /** The steps that the present passes visit, which together go once over all steps. */
  private final Set<StepRun> known = new HashSet<>();

  /** The workers that may get orders in the present pass, by service. */
  private final Map<String, List<WorkerView>> usableWorkers = new HashMap<>();

  Dispatcher(
      CellState cell, RunController runs, UpcomingSteps upcoming, CrashTracker crashTracker) {
    this.cell = cell;
    this.crashTracker = crashTracker;
    this.trialWorkers = new TrialWorkers(cell);
    this.runs = runs;
    this.preemptions = new PreemptionController(cell, runs);
    this.upcomingSteps = upcoming;
  }

  /**
   * Places the steps that are ready. If the pass has to stop before it has visited all of them, the
   * next one visits the others, after urgent steps that have become ready meanwhile.
   *
   * @param mayContinue asked between steps whether the pass may go on
   * @return whether all steps were visited
   */
  boolean pass(long now, BooleanSupplier mayContinue) {
    // Rated before the refresh too, which forgets workers that were not rated for a while.
    cell.workers.values().forEach(worker -> worker.rate(cell.speedEstimator, now));
    cell.speedEstimator.refresh(now);
    for (WorkerView worker : cell.workers.values()) {
      worker.rate(cell.speedEstimator, now);
      worker.cold = worker.isCold(now);
    }
    trialWorkers.releaseUnneeded(now);
    usableWorkers.clear();
    final long unresolvedUpTo = cell.lastUnresolvedNumber(now);
    cell.usage.setUnresolvedCapacity(cell.unresolvedCapacity(now));
    Map<String, List<WorkerView>> workersByService = new HashMap<>();
    List<StepRun> steps = unvisited.isEmpty() ? allSteps(now) : remainingSteps(now);
    IndependentActions placements = new IndependentActions();
    int visited = 0;
    for (StepRun step : steps) {
      if (visited >= MIN_STEPS_PER_PASS && !mayContinue.getAsBoolean()) {
        break;
      }
      visited++;
      if (!step.submission.isLive() || !step.hasWaitingTasks()) {
        cell.reservations.release(step);
        cell.readySteps.remove(step);
      } else if (!cell.waitsForUnheardWorkers(step.submission, unresolvedUpTo)) {
        // Without a lambda, since a pass goes over thousands of steps.
        try {
          placeStep(step, workersFor(step, workersByService, now), now);
        } catch (RuntimeException error) {
          placements.addFailure("placement of " + step.submission.spec().id(), error);
        }
      }
    }
    for (StepRun step : upcomingSteps.upcoming()) {
      try {
        requestAdviceAhead(step, workersFor(step, workersByService, now), now);
      } catch (RuntimeException error) {
        placements.addFailure("advice for " + step.submission.spec().id(), error);
      }
    }
    unvisited = List.copyOf(steps.subList(visited, steps.size()));
    if (unvisited.isEmpty()) {
      known.clear();
    }
    placements.throwIfFailed();
    return unvisited.isEmpty();
  }

  private List<StepRun> allSteps(long now) {
    List<StepRun> sorted = sorted(cell.readySteps, now);
    cell.headroom.update(sorted, now);
    cell.orderWindow.beginPass();
    known.addAll(sorted);
    return sorted;
  }

  /** Returns the steps that the last pass has not visited, and new urgent ones before them. */
  private List<StepRun> remainingSteps(long now) {
    List<StepRun> urgent = new ArrayList<>();
    for (StepRun step : cell.readySteps) {
      if (cell.isUrgent(step) && known.add(step)) {
        urgent.add(step);
      }
    }
    List<StepRun> remaining = sorted(urgent, now);
    for (StepRun step : unvisited) {
      if (cell.readySteps.contains(step)) {
        remaining.add(step);
      }
    }
    return remaining;
  }

  private List<StepRun> sorted(Collection<StepRun> steps, long now) {
    return UrgencyOrder.sorted(
        steps, cell.durationEstimator, step -> cell.shares.isHeldBack(step, now), now);
  }

  private List<WorkerView> workersFor(
      StepRun step, Map<String, List<WorkerView>> workersByService, long now) {
    String service = step.submission.spec().queue().service();
    return workersByService.computeIfAbsent(service, name -> cell.acceptingWorkers(name, now));
  }

  private static boolean isRequestPending(StepAdvice advice, long now) {
    return advice.requestedAt > 0 && now < advice.requestedAt + ADVICE_TIMEOUT_MILLIS;
  }

  private static boolean hasValidTicket(StepAdvice advice, List<WorkerView> workers, long now) {
    return workers.stream().anyMatch(worker -> advice.validTicket(worker, now) != null);
  }

  /** Requests advice for a step that is about to become ready, without reserving resources. */
  private void requestAdviceAhead(StepRun step, List<WorkerView> workers, long now) {
    StepAdvice advice = step.advice;
    if (isRequestPending(advice, now)
        || now < advice.nextRequestAt
        || hasValidTicket(advice, workers, now)) {
      return;
    }
    step.urgent = true;
    List<WorkerView> named = unratedWorkersWithRoom(step, step.tasks.length, workers, now);
    if (!named.isEmpty() && cell.output.advise(step, named)) {
      advice.requestedAt = now;
    }
  }

  /**
   * Places the waiting tasks of a step.
   *
   * @param workers the workers that accept orders; those reserved for a task alone are removed
   */
  private void placeStep(StepRun step, List<WorkerView> workers, long now) {
    step.urgent = cell.isUrgent(step);
    SpeedPreference.update(cell, step, now);
    final StepReservation reservation = step.reservation;
    cell.reservations.release(step);
    if (step.preemption != null && continuePreemption(step, workers, now)) {
      return;
    }
    List<Task> besideOthers = new ArrayList<>();
    Map<Task, List<Task>> alone = new LinkedHashMap<>();
    for (Task task : startableTasks(step, now)) {
      if (startsAlone(task, now)) {
        alone.computeIfAbsent(task.crashUnit(), first -> new ArrayList<>()).add(task);
      } else {
        besideOthers.add(task);
      }
    }
    placeTasks(step, besideOthers, workers, reservation, now);
    alone.forEach(
        (unit, tasks) -> {
          unit.isolationWantedAt = unit.isolationWantedAt == 0 ? now : unit.isolationWantedAt;
          placeTasks(step, tasks, trialWorkers.workersFor(unit, tasks.size(), now), null, now);
        });
    if (!alone.isEmpty()) {
      workers.removeIf(worker -> worker.trialUnit != null);
    }
    if (waitsForOrders(step, workers, now)) {
      cell.orderWindow.awaitRoom();
      keepReservation(step, reservation, now);
      return;
    }
    makeRoom(step, workers, reservation, now);
  }

  /**
   * Tells whether waiting tasks of a step have room on a worker but their start orders have not:
   * the orders in transit have to be answered first.
   */
  private boolean waitsForOrders(StepRun step, List<WorkerView> workers, long now) {
    if (step.isGang()) {
      return cell.orderWindow.isWaiting(step);
    }
    if (!step.hasWaitingTasks()) {
      return false;
    }
    if (cell.orderWindow.room(step) == 0) {
      return true;
    }
    for (WorkerView worker : workers) {
      if (cell.orderWindow.roomAt(worker, step) == 0
          && Placer.matches(step.spec, worker)
          && Placer.freeSlots(step, worker) > 0
          && (step.advice == null || step.advice.validTicket(worker, now) != null)) {
        return true;
      }
    }
    return false;
  }

  private void keepReservation(StepRun step, StepReservation reservation, long now) {
    if (step.reservation == null && reservation != null && now < reservation.until()) {
      cell.reservations.reserve(step, reservation);
    }
  }

  /**
   * Begins to make room for a step that could not be placed, or keeps the room that is reserved for
   * it while the advisor is asked.
   */
  private void makeRoom(
      StepRun step, List<WorkerView> workers, StepReservation reservation, long now) {
    if (step.reservation != null
        || !preemptions.mayPreempt(step)
        || (step.isGang() ? !step.allTasksWaiting() : !step.hasWaitingTasks())
        || preempt(step, workers, now)
        || step.advice == null) {
      return;
    }
    if (isRequestPending(step.advice, now)) {
      if (reservation != null && now < reservation.until()) {
        cell.reservations.reserve(step, reservation);
      }
    } else if (now >= step.advice.nextRequestAt && mayRateForStops(step, now)) {
      requestRating(step, step.waitingCount(), workers, now);
    }
  }

  /**
   * Stops less urgent runs if the tickets of their workers last until the step starts; otherwise
   * requests these tickets and reserves the room that is to be made.
   *
   * @return whether room is reserved for the step now
   */
  private boolean preempt(StepRun step, List<WorkerView> workers, long now) {
    if (!preemptions.isDue(step, now)) {
      return false;
    }
    StepAdvice advice = step.advice;
    long unreserved = unreservedMilliProcessors(step, now);
    long startAt = now + preemptions.stopMillis();
    List<WorkerView> ticketed =
        workers.stream()
            .filter(worker -> advice == null || advice.validTicket(worker, startAt) != null)
            .toList();
    PreemptionController.Planned plan =
        preemptions.plan(step, ticketed, unreserved, now).orElse(null);
    if (plan != null) {
      preemptions.execute(step, plan, now);
      return true;
    }
    if (advice == null || isRequestPending(advice, now) || now < advice.nextRequestAt) {
      return false;
    }
    plan =
        preemptions
            .plan(step, workers.stream().filter(advice::isSuitable).toList(), unreserved, now)
            .orElse(null);
    if (plan == null) {
      step.planFailedAt = now;
      return false;
    }
    return advisePlanned(step, plan.resources(), now);
  }

  private boolean advisePlanned(StepRun step, Map<WorkerView, Resources> planned, long now) {
    if (planned.size() > MAX_WORKERS_PER_REQUEST
        || !cell.output.advise(step, List.copyOf(planned.keySet()))) {
      return false;
    }
    step.advice.requestedAt = now;
    cell.reservations.reserve(step, reservation(step, planned, now));
    return true;
  }

  /**
   * Starts a step in the room that was made for it, or keeps the room until the stops are done.
   * Tickets that lapsed meanwhile are requested again once.
   *
   * @return false if the step is to be placed as any other
   */
  private boolean continuePreemption(StepRun step, List<WorkerView> workers, long now) {
    final StepPreemption preemption = step.preemption;
    step.preemption = null;
    List<Task> waiting = List.of(step.tasks).stream().filter(Task::isWaiting).toList();
    if (now > preemption.until() || step.isGang() && !step.allTasksWaiting()) {
      return false;
    }
    List<WorkerView> planned =
        workers.stream().filter(preemption.resources()::containsKey).toList();
    Map<Task, WorkerView> room = Map.of();
    if (cell.usage.allows(
            step.submission.spec().customer(), step.spec.taskResources(), waiting.size())
        && waiting.stream().allMatch(task -> crashTracker.mayStart(task, now))) {
      room = Placer.choose(step, waiting, planned, worker -> true, now);
    }
    if (room.size() < waiting.size()) {
      keep(step, preemption);
      return true;
    }
    StepAdvice advice = step.advice;
    if (room.values().stream()
        .allMatch(worker -> advice == null || advice.validTicket(worker, now) != null)) {
      startTasks(step, room, now);
      return true;
    }
    if (isRequestPending(advice, now)) {
      keep(step, preemption);
      return true;
    }
    if (preemption.ticketsRenewed()
        || !cell.output.advise(step, List.copyOf(new LinkedHashSet<>(room.values())))) {
      return false;
    }
    advice.requestedAt = now;
    long until = reservation(step, preemption.resources(), now).until();
    keep(step, new StepPreemption(preemption.resources(), preemption.victims(), until, true));
    return true;
  }

  private void keep(StepRun step, StepPreemption preemption) {
    step.preemption = preemption;
    cell.reservations.reserve(
        step, new StepReservation(preemption.resources(), preemption.until()));
  }

  private boolean startsAlone(Task task, long now) {
    return cell.crashVerdict(task.crashUnit(), now) == CrashVerdict.START_ALONE;
  }

  private void placeTasks(
      StepRun step,
      List<Task> tasks,
      List<WorkerView> workers,
      StepReservation reservation,
      long now) {
    if (tasks.isEmpty() || workers.isEmpty()) {
      return;
    }
    StepAdvice advice = step.advice;
    Map<Task, WorkerView> chosen =
        advice != null && !advice.mayHaveValidTicket(now)
            ? Map.of()
            : Placer.choose(
                step,
                tasks,
                workers,
                worker -> advice == null || advice.validTicket(worker, now) != null,
                worker -> step.isGang() ? tasks.size() : cell.orderWindow.roomAt(worker, step),
                now);
    if (step.isGang() && !chosen.isEmpty() && !cell.orderWindow.admitsGang(step, chosen.size())) {
      return;
    }
    startTasks(step, chosen, now);
    if (advice == null || chosen.size() == tasks.size() || waitsForOrders(step, workers, now)) {
      return;
    }
    if (isRequestPending(advice, now)) {
      if (reservation != null && now < reservation.until()) {
        cell.reservations.reserve(step, reservation);
      }
    } else if (now >= advice.nextRequestAt) {
      requestAdvice(step, tasks.stream().filter(Task::isWaiting).toList(), workers, now);
    }
  }

  /**
   * Returns the waiting tasks that fit the customer's limit, leave the urgent reserve free and may
   * be ordered now.
   */
  private List<Task> startableTasks(StepRun step, long now) {
    List<Task> waiting = new ArrayList<>();
    if (step.isGang() && !step.allTasksWaiting()) {
      return waiting;
    }
    String customer = step.submission.spec().customer();
    Resources each = step.spec.taskResources();
    long free = unreservedMilliProcessors(step, now);
    LimitHeadroom.Held held = cell.headroom.holdingBack(step, now).orElse(null);
    int most = step.isGang() ? step.tasks.length : cell.orderWindow.room(step);
    for (Task task : step.tasks) {
      if (waiting.size() >= most) {
        break;
      }
      int count = waiting.size() + 1;
      if (task.isWaiting()
          && (count * each.milliProcessors() <= free || startsAlone(task, now))
          && cell.usage.allows(customer, each, count)
          && (held == null || !held.blocks(count))
          && crashTracker.mayStart(task, now)) {
        waiting.add(task);
      }
    }
    if (step.isGang() && waiting.size() < step.tasks.length) {
      return new ArrayList<>();
    }
    return waiting;
  }

  private long unreservedMilliProcessors(StepRun step, long now) {
    String service = step.submission.spec().queue().service();
    return unreservedMilliProcessors(
        cell, step, usableWorkers.computeIfAbsent(service, name -> cell.usableWorkers(name, now)));
  }

  /**
   * Returns the free capacity that a step may take beside the reserve for urgent work.
   *
   * @param usable the workers of the service that may get orders; those reserved for one task
   *     count, or the workers left to the others would have to hold the reserve of all
   */
  static long unreservedMilliProcessors(CellState cell, StepRun step, List<WorkerView> usable) {
    QueueTerms queue = step.submission.spec().queue();
    if (cell.isUrgent(step) || step.spec.flags().opportunistic() || step.isPersistent()) {
      return Long.MAX_VALUE;
    }
    long free = 0;
    long capacity = 0;
    for (WorkerView worker : usable) {
      free += Math.max(0, worker.freeProcessors());
      capacity += worker.incarnation().capacity().milliProcessors();
    }
    return free - cell.reserve.reservedMilliProcessors(queue.service(), capacity);
  }

  private void startTasks(StepRun step, Map<Task, WorkerView> chosen, long now) {
    int gangRun = step.isGang() ? step.nextRunNumber(step.tasks[0]) : 0;
    for (Map.Entry<Task, WorkerView> entry : chosen.entrySet()) {
      Task task = entry.getKey();
      int number = step.isGang() ? gangRun : step.nextRunNumber(task);
      String ticket = step.advice == null ? null : step.advice.validTicket(entry.getValue(), now);
      runs.orderStart(task, entry.getValue(), number, ticket, now);
    }
  }

  private void requestAdvice(StepRun step, List<Task> tasks, List<WorkerView> workers, long now) {
    StepAdvice advice = step.advice;
    if (tasks.isEmpty()) {
      return;
    }
    Map<Task, WorkerView> planned =
        advice.hasSuitableWorkers()
            ? Placer.choose(step, tasks, workers, advice::isSuitable, now)
            : Map.of();
    if (!planned.isEmpty()) {
      Set<WorkerView> named = new LinkedHashSet<>(planned.values());
      if (cell.output.advise(step, List.copyOf(named))) {
        advice.requestedAt = now;
        reserveResources(step, planned, now);
      }
      return;
    }
    if (!preempt(step, workers, now)) {
      requestRating(step, tasks.size(), workers, now);
    }
  }

  /** Asks the advisor about workers that it has not rated for the step. */
  private void requestRating(StepRun step, int wanted, List<WorkerView> workers, long now) {
    List<WorkerView> unrated = unratedWorkersWithRoom(step, wanted, workers, now);
    if (!unrated.isEmpty() && cell.output.advise(step, unrated)) {
      step.advice.requestedAt = now;
    }
  }

  /**
   * Returns workers that the advisor has not rated yet; none if they and the suitable workers have
   * too little room for the step. For a step that may preempt, room that can be made counts if
   * there is too little otherwise.
   */
  private List<WorkerView> unratedWorkersWithRoom(
      StepRun step, int wanted, List<WorkerView> workers, long now) {
    List<WorkerView> unrated =
        unratedWorkers(step, wanted, workers, worker -> Placer.freeSlots(step, worker));
    if (unrated.isEmpty() && preemptions.mayPreempt(step) && mayRateForStops(step, now)) {
      return unratedWorkers(
          step, wanted, workers, worker -> preemptions.slotsAfterStops(step, worker, now));
    }
    return unrated;
  }

  /**
   * Tells whether a step may ask about workers that have room only after stops: a gang once, so
   * that it can plan, and any step for which the workers known to be suitable do not suffice.
   */
  private static boolean mayRateForStops(StepRun step, long now) {
    return step.planFailedAt == now || step.isGang() && !step.advice.hasSuitableWorkers();
  }

  /** Returns unrated workers, fastest or slowest first as the step prefers. */
  private List<WorkerView> unratedWorkers(
      StepRun step, int wanted, List<WorkerView> workers, ToIntFunction<WorkerView> room) {
    List<WorkerView> unrated = new ArrayList<>();
    Map<WorkerView, Integer> slots = new HashMap<>();
    int totalSlots = 0;
    for (WorkerView worker : workers) {
      if (Placer.matches(step.spec, worker)) {
        int free = room.applyAsInt(worker);
        slots.put(worker, free);
        if (!step.advice.isRated(worker)) {
          unrated.add(worker);
          totalSlots += free;
        } else if (step.advice.isSuitable(worker)) {
          totalSlots += free;
        }
      }
    }
    int needed = step.isGang() ? wanted : 1;
    if (totalSlots < needed) {
      return List.of();
    }
    unrated.sort(
        Comparator.comparingDouble((WorkerView worker) -> Placer.speedPenalty(step, worker))
            .thenComparingInt(worker -> -slots.get(worker)));
    return unrated.subList(0, requestSize(step, wanted, unrated, slots));
  }

  /**
   * Returns how many of the workers to name: as many as are expected to give the step room enough.
   *
   * <p>Each named worker lengthens the call and its answer. A check of 3 tasks that names 40
   * workers waits half as long again for its advice, and at 30 checks a second these calls take an
   * eighth of a link of 2 Mbit/s.
   */
  private int requestSize(
      StepRun step, int wanted, List<WorkerView> unrated, Map<WorkerView, Integer> slots) {
    double share = cell.suitabilityEstimator.share(step.submission.spec().queue().name());
    double expectedRoom = 0;
    int size = 0;
    int limit = Math.min(unrated.size(), MAX_WORKERS_PER_REQUEST);
    while (size < limit
        && (size < MIN_WORKERS_PER_REQUEST || expectedRoom < ROOM_PER_TASK * wanted)) {
      expectedRoom += share * Math.min(wanted, slots.get(unrated.get(size)));
      size++;
    }
    return size;
  }

  private void reserveResources(StepRun step, Map<Task, WorkerView> planned, long now) {
    Map<WorkerView, Resources> resources = new HashMap<>();
    for (WorkerView worker : planned.values()) {
      resources.merge(worker, step.spec.taskResources(), Resources::plus);
    }
    cell.reservations.reserve(step, reservation(step, resources, now));
  }

  /** Returns a reservation that lasts for a call of the advisor about its workers. */
  private static StepReservation reservation(
      StepRun step, Map<WorkerView, Resources> resources, long now) {
    long call = Math.round(step.advice.terms.callMillis(resources.size()));
    return new StepReservation(resources, now + 2 * call + ADVICE_RETRY_MILLIS);
  }

  /** Releases the reservations on certain workers; the steps request other workers at once. */
  void withdrawReservations(Predicate<WorkerView> unusable) {
    for (StepRun step : cell.readySteps) {
      if (step.reservation != null
          && step.reservation.resources().keySet().stream().anyMatch(unusable)) {
        cell.reservations.release(step);
        step.preemption = null;
        if (step.advice != null) {
          step.advice.requestedAt = 0;
        }
      }
    }
  }

  void adviceAnswered(
      StepRun step,
      List<WorkerView> named,
      Map<String, String> tickets,
      long validMillis,
      long now) {
    recordSuitability(step, named, tickets);
    step.advice.recordAnswer(named, tickets, validMillis, now);
    step.advice.nextRequestAt = tickets.isEmpty() ? now + ADVICE_RETRY_MILLIS : now;
    step.nextPreemptionAt = now;
    cell.dirty = true;
  }

  /** Records which share of the workers that were not rated before is suitable. */
  private void recordSuitability(
      StepRun step, List<WorkerView> named, Map<String, String> tickets) {
    List<WorkerView> newlyRated =
        named.stream().filter(worker -> !step.advice.isRated(worker)).toList();
    long suitable = newlyRated.stream().filter(worker -> tickets.containsKey(worker.id())).count();
    cell.suitabilityEstimator.recordAnswer(
        step.submission.spec().queue().name(), newlyRated.size(), suitable);
  }

  void adviceFailed(StepRun step, long now) {
    step.advice.requestedAt = 0;
    step.advice.nextRequestAt = now + ADVICE_RETRY_MILLIS;
    // Stops that do not wait for this answer go on, and keep their room.
    if (step.preemption == null || step.preemption.ticketsRenewed()) {
      cell.reservations.release(step);
      step.preemption = null;
    }
    cell.dirty = true;
  }
}
