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
 * Takes queued work in order and puts it on workers until no more fits.
 *
 * <p>Each round starts one task, or one whole gang, of the team that comes first in the fair order,
 * so a job of a thousand tasks does not run past the other teams. Not thread safe.
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
  private final UrgentTurns urgentTurns;
  private final WorkerHolds holds;
  private final UrgentReserve reserve;
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
      UrgentReserve reserve) {
    this.settings = settings;
    this.fleet = fleet;
    this.order = order;
    this.queue = queue;
    this.shapes = shapes;
    this.history = history;
    this.reservations = reservations;
    this.policies = policies;
    this.holds = holds;
    this.reserve = reserve;
    this.urgentTurns = new UrgentTurns(settings.urgentHoldMillis(), settings.urgentTurn());
  }

  List<Placement> run(long now) {
    placeHoldOwners(now);
    boolean more = true;
    while (more) {
      boolean othersFirst = urgentTurns.isTurnOfOthers(now);
      more = placeOne(!othersFirst, now) || placeOne(othersFirst, now);
    }
    List<Placement> placements = new ArrayList<>(placedTasks.size());
    placedTasks.forEach((queued, tasks) -> placements.add(new Placement(queued.item(), tasks)));
    placedTasks.clear();
    return placements;
  }

  /** Tries the items that workers are held for before all others, which may fill their gaps. */
  private void placeHoldOwners(long now) {
    holds.releaseObsolete(now).forEach(this::retryOn);
    reserve.refresh(urgentTurns.isOverdue(now), now).forEach(this::retryOn);
    holds.holdForStarvingItem(now);
    for (QueuedItem owner : holds.owners()) {
      tryStart(order.team(owner.item().key().team()), owner, now);
    }
  }

  private void retryOn(WorkerState worker) {
    shapes.unblock(worker);
    order.tryAll();
  }

  private boolean placeOne(boolean urgent, long now) {
    for (TeamState team : order.waiting()) {
      if (team.isExhausted(urgent)) {
        continue;
      }
      QueuedItem queued =
          startFirstPossible(team, urgent ? URGENT : team.classTurns().order(), now);
      if (queued != null) {
        urgentTurns.started(urgent);
        team.classTurns().started(queued.item().workClass());
        return true;
      }
      if (!hasDelayedGang) {
        team.markExhausted(urgent);
      }
    }
    if (urgent && !queue.hasUrgent()) {
      urgentTurns.noneWaits();
    }
    return false;
  }

  private QueuedItem startFirstPossible(TeamState team, List<WorkClass> classes, long now) {
    hasDelayedGang = false;
    if (team.freePermits() <= 0) {
      return null;
    }
    for (WorkClass workClass : classes) {
      Iterator<QueuedItem> heads = team.queue(workClass).items().iterator();
      for (int tried = 0; tried < settings.backfillDepth() && heads.hasNext(); ) {
        QueuedItem queued = heads.next();
        if (queued.isTooLate(now)) {
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
      queued.triedInVain(now);
      return false;
    }
    reserve(queued, worker, now);
    removeIfFullyPlaced(queued, now);
    return true;
  }

  private WorkerState chooseWorker(QueuedItem queued, long now) {
    boolean isHeldFor = queued.isHeldFor();
    if (queued.shape().isBlocked() && !isHeldFor) {
      return null;
    }
    PlacementPolicy policy = policies.of(queued.item().workClass());
    WorkerFilter usable = usableWorkers(queued, now);
    Set<String> failedOn = history.failedOn(queued.item().key());
    if (!failedOn.isEmpty()) {
      WorkerFilter elsewhere = worker -> !failedOn.contains(worker.name()) && usable.test(worker);
      WorkerState other = policy.choose(queued, elsewhere);
      if (other != null) {
        return other;
      }
    }
    WorkerState worker = policy.choose(queued, usable);
    if (worker == null && !isHeldFor) {
      shapes.block(queued.shape());
    }
    return worker;
  }

  /**
   * Says which workers an item may use. Urgent work may use held workers, unless it is overdue for
   * other work to have its turn: an instance of four workers holds a quarter of its room for one
   * gang.
   */
  private WorkerFilter usableWorkers(QueuedItem queued, long now) {
    boolean urgent = queued.item().workClass() == WorkClass.URGENT;
    return worker ->
        (urgent || reserve.admits(worker, queued.need()))
            && (worker.currentHold() == null
                || worker.currentHold().admits(queued, now)
                || urgent && !urgentTurns.isOverdue(now));
  }

  private boolean tryStartGang(TeamState team, QueuedItem queued, long now) {
    int tasks = queued.waitingTasks();
    if (team.freePermits() < tasks) {
      return false;
    }
    if (queued.shape().isBlocked() && !queued.isHeldFor()) {
      queued.triedInVain(now);
      return false;
    }
    if (queued.nextTryMillis() > now) {
      hasDelayedGang = true;
      return false;
    }
    List<Reservation> taken = new ArrayList<>(tasks);
    for (int i = 0; i < tasks; i++) {
      WorkerState worker = chooseWorker(queued, now);
      if (worker == null) {
        releaseAll(taken);
        queued.triedInVain(now);
        queued.tryAgainAt(now + settings.gangRetryMillis());
        return false;
      }
      Reservation reservation = reservation(queued, i, worker, now);
      fleet.reserve(worker, reservation);
      taken.add(reservation);
    }
    releaseAll(taken);
    for (Reservation reservation : taken) {
      reserve(queued, fleet.worker(reservation.task().worker()), now);
    }
    removeIfFullyPlaced(queued, now);
    return true;
  }

  private void releaseAll(List<Reservation> taken) {
    for (Reservation reservation : taken) {
      WorkerState worker = fleet.worker(reservation.task().worker());
      fleet.release(worker, reservation);
      shapes.unblock(worker);
    }
  }

  private void reserve(QueuedItem queued, WorkerState worker, long now) {
    Reservation reservation = reservation(queued, queued.takeIndex(), worker, now);
    history.taskPlaced(queued.item().key());
    TeamState team = order.team(queued.item().key().team());
    team.taskStarted(queued, now);
    reservations.add(worker, reservation);
    reserve.roomTaken(worker);
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
