package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;

/**
 * Places queued work on workers in fair order until no more fits.
 *
 * <p>Each round starts one task, or one whole gang, of the team that comes first in the fair order,
 * so a job of a thousand tasks does not run ahead of the other teams. Confined to the control
 * thread.
 */
final class PlacementLoop {

  private static final List<WorkClass> URGENT = List.of(WorkClass.URGENT);

  private final SchedulerSettings settings;
  private final Fleet fleet;
  private final FairOrder order;
  private final ItemQueue queue;
  private final ShapeTable shapes;
  private final WorkHistory history;
  private final Reservations reservations;
  private final PlacementPolicies policies;
  private final UrgentPriorityLimit urgentPriorityLimit;
  private final WorkerHolds holds;
  private final UrgentReserve urgentReserve;
  private final Map<QueuedItem, List<PlacedTask>> placedTasks = new LinkedHashMap<>();
  private boolean hasDelayedGang;

  PlacementLoop(
      SchedulerSettings settings,
      Fleet fleet,
      FairOrder order,
      ItemQueue queue,
      ShapeTable shapes,
      WorkHistory history,
      Reservations reservations,
      PlacementPolicies policies,
      WorkerHolds holds,
      UrgentReserve urgentReserve) {
    this.settings = settings;
    this.fleet = fleet;
    this.order = order;
    this.queue = queue;
    this.shapes = shapes;
    this.history = history;
    this.reservations = reservations;
    this.policies = policies;
    this.holds = holds;
    this.urgentReserve = urgentReserve;
    this.urgentPriorityLimit =
        new UrgentPriorityLimit(settings.urgentHoldMillis(), settings.urgentTurn());
  }

  List<Placement> run(long now) {
    placeHoldOwners(now);
    boolean placedAny = true;
    while (placedAny) {
      boolean othersFirst = urgentPriorityLimit.isOtherWorkNext(now);
      placedAny = placeOne(!othersFirst, now) || placeOne(othersFirst, now);
    }
    List<Placement> placements = new ArrayList<>(placedTasks.size());
    placedTasks.forEach((queued, tasks) -> placements.add(new Placement(queued.item(), tasks)));
    placedTasks.clear();
    return placements;
  }

  /** Tries the owners of holds first, since other items could fill the gaps on their workers. */
  private void placeHoldOwners(long now) {
    holds.releaseObsolete(now).forEach(this::retryOn);
    urgentReserve.refresh(urgentPriorityLimit.isOtherWorkOverdue(now), now).forEach(this::retryOn);
    holds.holdForStarvingItem(now);
    for (QueuedItem owner : holds.owners()) {
      tryStart(order.team(owner.item().key().team()), owner, now);
    }
  }

  private void retryOn(WorkerState worker) {
    shapes.unblock(worker);
    order.retryAllTeams();
  }

  private boolean placeOne(boolean urgent, long now) {
    for (TeamState team : order.orderedTeams()) {
      if (team.isExhausted(urgent)) {
        continue;
      }
      QueuedItem queued =
          startFirstPossible(team, urgent ? URGENT : team.classRotation().order(), now);
      if (queued != null) {
        urgentPriorityLimit.recordStart(urgent);
        team.classRotation().recordStart(queued.item().workClass());
        return true;
      }
      if (!hasDelayedGang) {
        team.markExhausted(urgent);
      }
    }
    if (urgent && !queue.hasUrgent()) {
      urgentPriorityLimit.recordNoUrgentWaiting();
    }
    return false;
  }

  private QueuedItem startFirstPossible(TeamState team, List<WorkClass> classes, long now) {
    hasDelayedGang = false;
    if (team.freePermits() <= 0) {
      return null;
    }
    for (WorkClass workClass : classes) {
      Iterator<QueuedItem> candidates = team.queue(workClass).items().iterator();
      for (int tried = 0; tried < settings.backfillDepth() && candidates.hasNext(); ) {
        QueuedItem queued = candidates.next();
        if (queued.isExpired(now)) {
          continue;
        }
        tried++;
        if (tryStart(team, queued, now)) {
          return queued;
        }
      }
    }
    return null;
  }

  private boolean tryStart(TeamState team, QueuedItem queued, long now) {
    if (queued.item().workClass() == WorkClass.GANG) {
      return tryStartGang(team, queued, now);
    }
    if (team.freePermits() <= 0) {
      return false;
    }
    WorkerState worker = chooseWorker(queued, now);
    if (worker == null) {
      queued.recordFailedPlacement(now);
      return false;
    }
    reserve(queued, worker, now);
    removeIfFullyPlaced(queued, now);
    return true;
  }

  private WorkerState chooseWorker(QueuedItem queued, long now) {
    boolean ownsHold = queued.hasHold();
    if (queued.shape().isBlocked() && !ownsHold) {
      return null;
    }
    PlacementPolicy policy = policies.of(queued.item().workClass());
    WorkerFilter usable = usableWorkers(queued, now);
    Set<String> failedWorkers = history.failedWorkers(queued.item().key());
    if (!failedWorkers.isEmpty()) {
      WorkerFilter withoutFailedWorkers =
          worker -> !failedWorkers.contains(worker.name()) && usable.test(worker);
      WorkerState preferred = policy.choose(queued, withoutFailedWorkers);
      if (preferred != null) {
        return preferred;
      }
    }
    WorkerState worker = policy.choose(queued, usable);
    if (worker == null && !ownsHold) {
      shapes.block(queued.shape());
    }
    return worker;
  }

  /**
   * Returns a filter for the workers that an item may use. Urgent work may use held workers unless
   * other work is overdue: an instance with four workers holds a quarter of its capacity for one
   * gang.
   */
  private WorkerFilter usableWorkers(QueuedItem queued, long now) {
    boolean urgent = queued.item().workClass() == WorkClass.URGENT;
    return worker ->
        (urgent || urgentReserve.admits(worker, queued.need()))
            && (worker.currentHold() == null
                || worker.currentHold().admits(queued, now)
                || urgent && !urgentPriorityLimit.isOtherWorkOverdue(now));
  }

  private boolean tryStartGang(TeamState team, QueuedItem queued, long now) {
    int tasks = queued.waitingTasks();
    if (team.freePermits() < tasks) {
      return false;
    }
    if (queued.shape().isBlocked() && !queued.hasHold()) {
      queued.recordFailedPlacement(now);
      return false;
    }
    if (queued.nextTryMillis() > now) {
      hasDelayedGang = true;
      return false;
    }
    List<Reservation> tentative = new ArrayList<>(tasks);
    for (int i = 0; i < tasks; i++) {
      WorkerState worker = chooseWorker(queued, now);
      if (worker == null) {
        releaseAll(tentative);
        queued.recordFailedPlacement(now);
        queued.setNextTryMillis(now + settings.gangRetryMillis());
        return false;
      }
      Reservation reservation = reservation(queued, i, worker, now);
      fleet.reserve(worker, reservation);
      tentative.add(reservation);
    }
    releaseAll(tentative);
    for (Reservation reservation : tentative) {
      reserve(queued, fleet.worker(reservation.task().worker()), now);
    }
    removeIfFullyPlaced(queued, now);
    return true;
  }

  private void releaseAll(List<Reservation> tentative) {
    for (Reservation reservation : tentative) {
      WorkerState worker = fleet.worker(reservation.task().worker());
      fleet.release(worker, reservation);
      shapes.unblock(worker);
    }
  }

  private void reserve(QueuedItem queued, WorkerState worker, long now) {
    Reservation reservation = reservation(queued, queued.takeTaskIndex(), worker, now);
    history.recordPlacedTask(queued.item().key());
    TeamState team = order.team(queued.item().key().team());
    team.recordStart(queued, now);
    reservations.add(worker, reservation);
    urgentReserve.releaseIfFilled(worker);
    placedTasks.computeIfAbsent(queued, unused -> new ArrayList<>()).add(reservation.task());
  }

  private static Reservation reservation(
      QueuedItem queued, int index, WorkerState worker, long now) {
    WorkItem item = queued.item();
    TaskId taskId = new TaskId(item.key(), queued.attempt(), index);
    PlacedTask task = new PlacedTask(taskId, worker.name(), item.workClass(), queued.need());
    return new Reservation(task, item.name(), now, item.expectedRunMillis());
  }

  private void removeIfFullyPlaced(QueuedItem queued, long now) {
    if (queued.waitingTasks() == 0) {
      queue.remove(queued, now);
    }
  }
}
