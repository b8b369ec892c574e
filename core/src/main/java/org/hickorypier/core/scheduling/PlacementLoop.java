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
  private final UrgentPriorityLimit urgentTurns;
  private final RoomHolds holds;
  private final UrgentReserve reserve;
  private final Map<QueuedItem, List<PlacedTask>> placed = new LinkedHashMap<>();
  private boolean triesLater;

  PlacementLoop(
      SchedulerSettings settings,
      Fleet fleet,
      FairOrder order,
      ItemQueue queue,
      ShapeTable shapes,
      WorkHistory history,
      Reservations reservations,
      PlacementPolicies policies,
      RoomHolds holds,
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
    this.urgentTurns = new UrgentPriorityLimit(settings.urgentHoldMillis(), settings.urgentTurn());
  }

  List<Placement> run(long now) {
    tryHeld(now);
    boolean more = true;
    while (more) {
      boolean othersFirst = urgentTurns.isOtherWorkNext(now);
      more = placeOne(!othersFirst, now) || placeOne(othersFirst, now);
    }
    List<Placement> placements = new ArrayList<>(placed.size());
    placed.forEach((queued, tasks) -> placements.add(new Placement(queued.item(), tasks)));
    placed.clear();
    return placements;
  }

  /** Tries the items that workers are held for before all others, which may fill their gaps. */
  private void tryHeld(long now) {
    holds.releaseUseless(now).forEach(this::offerAgain);
    reserve.refresh(urgentTurns.isOtherWorkOverdue(now), now).forEach(this::offerAgain);
    holds.holdForStarving(now);
    for (QueuedItem owner : holds.owners()) {
      starts(order.team(owner.item().key().team()), owner, now);
    }
  }

  private void offerAgain(WorkerState worker) {
    shapes.unblock(worker);
    order.retryAllTeams();
  }

  private boolean placeOne(boolean urgent, long now) {
    for (TeamState team : order.orderedTeams()) {
      if (team.isExhausted(urgent)) {
        continue;
      }
      QueuedItem queued =
          firstThatStarts(team, urgent ? URGENT : team.classRotation().order(), now);
      if (queued != null) {
        urgentTurns.recordStart(urgent);
        team.classRotation().recordStart(queued.item().workClass());
        return true;
      }
      if (!triesLater) {
        team.markExhausted(urgent);
      }
    }
    if (urgent && !queue.hasUrgent()) {
      urgentTurns.recordNoUrgentWaiting();
    }
    return false;
  }

  private QueuedItem firstThatStarts(TeamState team, List<WorkClass> classes, long now) {
    triesLater = false;
    if (team.freePermits() <= 0) {
      return null;
    }
    for (WorkClass workClass : classes) {
      Iterator<QueuedItem> heads = team.queue(workClass).items().iterator();
      for (int tried = 0; tried < settings.backfillDepth() && heads.hasNext(); ) {
        QueuedItem queued = heads.next();
        if (queued.isExpired(now)) {
          continue;
        }
        tried++;
        if (starts(team, queued, now)) {
          return queued;
        }
      }
    }
    return null;
  }

  private boolean starts(TeamState team, QueuedItem queued, long now) {
    if (queued.item().workClass() == WorkClass.GANG) {
      return startsGang(team, queued, now);
    }
    if (team.freePermits() <= 0) {
      return false;
    }
    WorkerState worker = chooseFor(queued, now);
    if (worker == null) {
      queued.recordFailedPlacement(now);
      return false;
    }
    reserve(queued, worker, now);
    finishIfWhole(queued, now);
    return true;
  }

  private WorkerState chooseFor(QueuedItem queued, long now) {
    boolean isHeldFor = queued.hasHold();
    if (queued.shape().isBlocked() && !isHeldFor) {
      return null;
    }
    PlacementPolicy policy = policies.of(queued.item().workClass());
    WorkerFilter usable = usableFor(queued, now);
    Set<String> failedOn = history.failedWorkers(queued.item().key());
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
  private WorkerFilter usableFor(QueuedItem queued, long now) {
    boolean urgent = queued.item().workClass() == WorkClass.URGENT;
    return worker ->
        (urgent || reserve.admits(worker, queued.need()))
            && (worker.heldBy() == null
                || worker.heldBy().admits(queued, now)
                || urgent && !urgentTurns.isOtherWorkOverdue(now));
  }

  private boolean startsGang(TeamState team, QueuedItem queued, long now) {
    int tasks = queued.waitingTasks();
    if (team.freePermits() < tasks) {
      return false;
    }
    if (queued.shape().isBlocked() && !queued.hasHold()) {
      queued.recordFailedPlacement(now);
      return false;
    }
    if (queued.nextTryMillis() > now) {
      triesLater = true;
      return false;
    }
    List<Reservation> taken = new ArrayList<>(tasks);
    for (int i = 0; i < tasks; i++) {
      WorkerState worker = chooseFor(queued, now);
      if (worker == null) {
        giveBack(taken);
        queued.recordFailedPlacement(now);
        queued.setNextTryMillis(now + settings.gangRetryMillis());
        return false;
      }
      Reservation reservation = reservation(queued, i, worker, now);
      fleet.reserve(worker, reservation);
      taken.add(reservation);
    }
    giveBack(taken);
    for (Reservation reservation : taken) {
      reserve(queued, fleet.worker(reservation.task().worker()), now);
    }
    finishIfWhole(queued, now);
    return true;
  }

  private void giveBack(List<Reservation> taken) {
    for (Reservation reservation : taken) {
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
    reservations.take(worker, reservation);
    reserve.releaseIfFilled(worker);
    placed.computeIfAbsent(queued, unused -> new ArrayList<>()).add(reservation.task());
  }

  private static Reservation reservation(
      QueuedItem queued, int index, WorkerState worker, long now) {
    WorkItem item = queued.item();
    TaskId taskId = new TaskId(item.key(), queued.attempt(), index);
    PlacedTask task = new PlacedTask(taskId, worker.name(), item.workClass(), queued.need());
    return new Reservation(task, item.name(), now, item.expectedRunMillis());
  }

  private void finishIfWhole(QueuedItem queued, long now) {
    if (queued.waitingTasks() == 0) {
      queue.remove(queued, now);
    }
  }
}
