package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
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

  /** Timeout of an advice request. */
  private static final long ADVICE_TIMEOUT_MILLIS = 4_000;

  /** Delay before the next request after one that failed or yielded no ticket. */
  private static final long ADVICE_RETRY_MILLIS = 500;

  private final CellState cell;
  private final RunController runs;
  private final UpcomingSteps upcomingSteps;
  private final CrashTracker crashTracker;
  private final TrialWorkers trialWorkers;

  Dispatcher(
      CellState cell, RunController runs, UpcomingSteps upcoming, CrashTracker crashTracker) {
    this.cell = cell;
    this.crashTracker = crashTracker;
    this.trialWorkers = new TrialWorkers(cell);
    this.runs = runs;
    this.upcomingSteps = upcoming;
  }

  void pass(long now) {
    cell.speedEstimator.refresh(now);
    for (WorkerView worker : cell.workers.values()) {
      worker.rate(cell.speedEstimator, now);
      worker.cold = worker.isCold(now);
    }
    trialWorkers.releaseUnneeded(now);
    long unresolvedUpTo = cell.lastUnresolvedNumber(now);
    cell.usage.setUnresolvedCapacity(cell.unresolvedCapacity(now));
    Map<String, List<WorkerView>> workersByService = new HashMap<>();
    for (StepRun step : UrgencyOrder.sorted(cell.readySteps, cell.durationEstimator, now)) {
      if (!step.submission.isLive() || !step.hasWaitingTasks()) {
        cell.reservations.release(step);
        cell.readySteps.remove(step);
      } else if (!cell.waitsForUnheardWorkers(step.submission, unresolvedUpTo)) {
        String service = step.submission.spec().queue().service();
        placeStep(
            step,
            workersByService.computeIfAbsent(service, name -> cell.acceptingWorkers(name, now)),
            now);
      }
    }
    for (StepRun step : upcomingSteps.upcoming()) {
      String service = step.submission.spec().queue().service();
      requestAdviceAhead(
          step,
          workersByService.computeIfAbsent(service, name -> cell.acceptingWorkers(name, now)),
          now);
    }
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
    List<WorkerView> named = unratedWorkersWithRoom(step, step.tasks.length, workers);
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
    List<Task> besideOthers = new ArrayList<>();
    Map<Task, List<Task>> alone = new LinkedHashMap<>();
    for (Task task : startableTasks(step, workers, now)) {
      if (startsAlone(task, now)) {
        alone.computeIfAbsent(task.crashUnit(), first -> new ArrayList<>()).add(task);
      } else {
        besideOthers.add(task);
      }
    }
    placeTasks(step, besideOthers, workers, reservation, now);
    alone.forEach(
        (unit, tasks) ->
            placeTasks(step, tasks, trialWorkers.workersFor(unit, tasks.size(), now), null, now));
    if (!alone.isEmpty()) {
      workers.removeIf(worker -> worker.trialUnit != null);
    }
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
        Placer.choose(
            step,
            tasks,
            workers,
            worker -> advice == null || advice.validTicket(worker, now) != null,
            now);
    startTasks(step, chosen, now);
    if (advice == null || chosen.size() == tasks.size()) {
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

  /** Returns the waiting tasks that fit the customer's limit and leave the urgent reserve free. */
  private List<Task> startableTasks(StepRun step, List<WorkerView> workers, long now) {
    List<Task> waiting = new ArrayList<>();
    if (step.isGang() && !step.allTasksWaiting()) {
      return waiting;
    }
    String customer = step.submission.spec().customer();
    Resources each = step.spec.taskResources();
    long free = unreservedMilliProcessors(cell, step, workers);
    for (Task task : step.tasks) {
      int count = waiting.size() + 1;
      if (task.isWaiting()
          && (count * each.milliProcessors() <= free || startsAlone(task, now))
          && cell.usage.allows(customer, each, count)
          && crashTracker.mayStart(task, now)) {
        waiting.add(task);
      }
    }
    if (step.isGang() && waiting.size() < step.tasks.length) {
      return new ArrayList<>();
    }
    return waiting;
  }

  /** Tells whether the reserve for urgent work leaves no room for even one task of a step. */
  static boolean isBlockedByReserve(CellState cell, StepRun step, List<WorkerView> workers) {
    return step.spec.taskResources().milliProcessors()
        > unreservedMilliProcessors(cell, step, workers);
  }

  private static long unreservedMilliProcessors(
      CellState cell, StepRun step, List<WorkerView> workers) {
    QueueTerms queue = step.submission.spec().queue();
    if (cell.isUrgent(step) || step.spec.flags().opportunistic() || step.isPersistent()) {
      return Long.MAX_VALUE;
    }
    long free = -cell.reserve.reservedMilliProcessors(queue.service());
    for (WorkerView worker : workers) {
      free += Math.max(0, worker.freeProcessors());
    }
    return free;
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
    List<WorkerView> unrated = unratedWorkersWithRoom(step, tasks.size(), workers);
    if (!unrated.isEmpty() && cell.output.advise(step, unrated)) {
      advice.requestedAt = now;
    }
  }

  /**
   * Returns the workers that the advisor has not rated yet, fastest or slowest first as the step
   * prefers; none if they and the suitable workers have too little room for the step.
   */
  private List<WorkerView> unratedWorkersWithRoom(
      StepRun step, int wanted, List<WorkerView> workers) {
    List<WorkerView> unrated = new ArrayList<>();
    Map<WorkerView, Integer> slots = new HashMap<>();
    int totalSlots = 0;
    for (WorkerView worker : workers) {
      if (Placer.matches(step.spec, worker)) {
        int free = Placer.freeSlots(step, worker);
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
    long call = Math.round(step.advice.terms.callMillis(resources.size()));
    cell.reservations.reserve(
        step, new StepReservation(resources, now + 2 * call + ADVICE_RETRY_MILLIS));
  }

  /** Releases the reservations on certain workers; the steps request other workers at once. */
  void withdrawReservations(Predicate<WorkerView> unusable) {
    for (StepRun step : cell.readySteps) {
      if (step.reservation != null
          && step.reservation.resources().keySet().stream().anyMatch(unusable)) {
        cell.reservations.release(step);
        step.advice.requestedAt = 0;
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
    cell.reservations.release(step);
    cell.dirty = true;
  }
}
