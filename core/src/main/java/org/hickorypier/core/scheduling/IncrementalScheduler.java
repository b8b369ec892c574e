package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.model.WorkerDescription;

/**
 * Scheduler that maintains its indexes incrementally, so that no call except the operators' queries
 * iterates over all workers or all queued items.
 *
 * <p>Invariants: those of {@link Scheduler}. Confined to the control thread.
 */
final class IncrementalScheduler implements Scheduler {

  private final FairOrder order = new FairOrder();
  private final Fleet fleet = new Fleet();
  private final UrgentReserve urgentReserve;
  private final ShapeTable shapes;
  private final WorkerCapacities capacities = new WorkerCapacities();
  private final WorkHistory history;
  private final ItemQueue queue;
  private final Reservations reservations;
  private final PlacementLoop placementLoop;
  private final WaitEstimate waitEstimate;
  private final LearnedSizes learnedSizes = new LearnedSizes();
  private final Quarantine quarantine;
  private final Admission admission;
  private final Set<WorkKey> failingJobs = new LinkedHashSet<>();
  private long latestMillis;

  IncrementalScheduler(SchedulerSettings settings, long seed) {
    urgentReserve = new UrgentReserve(settings.urgentReservePart(), fleet);
    shapes = new ShapeTable(urgentReserve);
    waitEstimate = new WaitEstimate(order, shapes);
    history = new WorkHistory(settings.historyMillis());
    queue = new ItemQueue(order, shapes, history);
    reservations = new Reservations(fleet, order, history);
    quarantine = new Quarantine(settings, fleet, history);
    admission = new Admission(settings, capacities, history, waitEstimate);
    SplittableRandom random = new SplittableRandom(seed);
    placementLoop =
        new PlacementLoop(
            settings,
            fleet,
            order,
            queue,
            shapes,
            history,
            reservations,
            new PlacementPolicies(fleet, random),
            new WorkerHolds(settings.holdAfterMillis(), fleet, order, random),
            urgentReserve);
  }

  @Override
  public Optional<Refusal> submit(WorkItem item, long now) {
    latestMillis = now;
    if (queue.get(item.key()) != null || history.wouldExceedTaskCount(item.key(), item.tasks())) {
      return Optional.empty();
    }
    Optional<Refusal> refusal = admission.refusalFor(item, order.team(item.key().team()), now);
    if (refusal.isEmpty()) {
      Resources need = reservationSize(item);
      queue.add(item, need);
      if (item.workClass() == WorkClass.URGENT) {
        urgentReserve.recordUrgentWork(need, now);
      }
    }
    return refusal;
  }

  @Override
  public List<Placement> place(long now) {
    latestMillis = now;
    quarantine.releaseDue(now).forEach(this::capacityFreed);
    return placementLoop.run(now);
  }

  @Override
  public List<GivenUp> expire(long now) {
    latestMillis = now;
    history.removeExpired(now);
    List<GivenUp> givenUp = new ArrayList<>(giveUpFailingJobs(now));
    for (QueuedItem queued : queue.removeExpired(now)) {
      String detail = "The work could not be placed before the deadline.";
      givenUp.add(
          new GivenUp(queued.item(), new Refusal(RefusalReason.DEADLINE_PASSED, detail, 0)));
    }
    return givenUp;
  }

  /** Gives up the queued remainder of jobs whose tasks have failed on several workers. */
  private List<GivenUp> giveUpFailingJobs(long now) {
    List<GivenUp> givenUp = new ArrayList<>();
    for (WorkKey key : failingJobs) {
      QueuedItem queued = queue.get(key);
      if (queued != null) {
        queue.remove(queued, now);
        givenUp.add(new GivenUp(queued.item(), admission.failsEverywhereRefusal(key)));
      }
    }
    failingJobs.clear();
    return givenUp;
  }

  @Override
  public boolean cancelQueued(WorkKey key) {
    QueuedItem queued = queue.get(key);
    if (queued == null) {
      return false;
    }
    queue.remove(queued, latestMillis);
    return true;
  }

  @Override
  public void taskEnded(TaskId taskId, TaskEnd end, long now) {
    latestMillis = now;
    Reservation reservation = reservations.release(taskId, end, now);
    if (reservation == null) {
      return;
    }
    waitEstimate.recordTaskEnd(now);
    WorkerState worker = fleet.worker(reservation.task().worker());
    quarantine.recordTaskEnd(worker, reservation, end, now);
    capacityFreed(worker);
    if (admission.failsEverywhere(taskId.key()) && queue.get(taskId.key()) != null) {
      failingJobs.add(taskId.key());
    }
  }

  @Override
  public void adopt(
      TaskId taskId, String worker, WorkClass workClass, Resources reserved, long now) {
    latestMillis = now;
    WorkerState state = fleet.worker(worker);
    if (state == null || reservations.get(taskId) != null) {
      return;
    }
    history.recordAdoptedTask(taskId.key(), taskId.attempt());
    PlacedTask task = new PlacedTask(taskId, worker, workClass, reserved);
    reservations.add(state, new Reservation(task, "", now, 0));
  }

  @Override
  public void putWorker(WorkerDescription worker, boolean open) {
    WorkerState state = fleet.worker(worker.name());
    if (state == null) {
      state = new WorkerState(worker, open);
    } else {
      fleet.remove(state);
      capacities.remove(state.description().capacity());
      state.update(worker, open);
    }
    fleet.add(state);
    capacities.add(worker.capacity());
    order.setTotal(fleet.total());
    capacityFreed(state);
  }

  @Override
  public List<TaskId> removeWorker(String name) {
    WorkerState state = fleet.worker(name);
    if (state == null) {
      return List.of();
    }
    final List<TaskId> taskIds = reservations.releaseAll(state, latestMillis);
    fleet.remove(state);
    quarantine.removeWorker(state);
    urgentReserve.removeWorker(state);
    capacities.remove(state.description().capacity());
    order.setTotal(fleet.total());
    return taskIds;
  }

  @Override
  public void putShare(String team, double share) {
    if (!(share > 0)) {
      throw new IllegalArgumentException("share is " + share + ", must be more than 0");
    }
    TeamState state = order.team(team);
    order.update(state, () -> state.setWeight(share));
  }

  @Override
  public void putPermits(String team, int permits) {
    order.team(team).setPermits(permits);
  }

  @Override
  public void putRemoteUsage(String team, Resources resources) {
    TeamState state = order.team(team);
    order.update(state, () -> state.setUsedElsewhere(resources, latestMillis));
  }

  @Override
  public void reportUsage(TaskId taskId, Resources used, long now) {
    latestMillis = now;
    Reservation reservation = reservations.get(taskId);
    if (reservation == null) {
      return;
    }
    if (!reservation.name().isEmpty()) {
      learnedSizes.recordUse(taskId.key().team(), reservation.name(), used);
    }
    reservations.raise(reservation, used);
    urgentReserve.releaseIfFilled(fleet.worker(reservation.task().worker()));
  }

  @Override
  public int waitingTasks(String team) {
    return order.team(team).waitingTasks();
  }

  @Override
  public List<WorkItem> queued() {
    return queue.all().stream().map(QueuedItem::item).toList();
  }

  @Override
  public List<PlacedTask> placed() {
    return reservations.all().stream().map(Reservation::task).toList();
  }

  @Override
  public List<WorkerSnapshot> workers() {
    return fleet.workers().stream().map(WorkerState::snapshot).toList();
  }

  @Override
  public Optional<String> explain(WorkKey key, long now) {
    QueuedItem queued = queue.get(key);
    return queued == null
        ? Optional.empty()
        : Optional.of(Explanation.of(queued, order.team(key.team()), fleet, now));
  }

  private Resources reservationSize(WorkItem item) {
    Resources learned = learnedSizes.sizeOf(item.key().team(), item.name(), item.resources());
    return capacities.fitsPresentWorker(learned) ? learned : item.resources();
  }

  private void capacityFreed(WorkerState worker) {
    urgentReserve.releaseIfFilled(worker);
    urgentReserve.reserveIfNeeded(worker);
    if (!worker.acceptsTasks()) {
      return;
    }
    if (shapes.unblock(worker)) {
      order.retryAllTeams();
    } else {
      order.retryTeamsWithGangs();
    }
  }
}
