package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;

/**
 * The reservations of placed tasks. All reservations are made and released here, so that the worker
 * and the team's usage change together; a release also updates the history.
 *
 * <p>Invariant: a task counts on its worker and in its team's usage if and only if it has a
 * reservation here. Confined to the control thread.
 */
final class Reservations {

  private final Map<TaskId, Reservation> reservations = new LinkedHashMap<>();
  private final Fleet fleet;
  private final FairOrder order;
  private final WorkHistory history;

  Reservations(Fleet fleet, FairOrder order, WorkHistory history) {
    this.fleet = fleet;
    this.order = order;
    this.history = history;
  }

  Reservation get(TaskId taskId) {
    return reservations.get(taskId);
  }

  Collection<Reservation> all() {
    return reservations.values();
  }

  void add(WorkerState worker, Reservation reservation) {
    PlacedTask task = reservation.task();
    reservations.put(task.taskId(), reservation);
    fleet.reserve(worker, reservation);
    TeamState team = order.team(task.taskId().key().team());
    order.update(team, () -> team.addPlacedTask(task));
  }

  /**
   * Releases the reservation of a task.
   *
   * @param taskId the task
   * @param end how it ended
   * @param now the time in milliseconds of the monotonic clock
   * @return the reservation, or null if there is none
   */
  Reservation release(TaskId taskId, TaskEnd end, long now) {
    Reservation reservation = reservations.remove(taskId);
    if (reservation == null) {
      return null;
    }
    PlacedTask task = reservation.task();
    fleet.release(fleet.worker(task.worker()), reservation);
    TeamState team = order.team(taskId.key().team());
    order.update(team, () -> team.removePlacedTask(task));
    history.recordTaskEnd(taskId.key(), task.worker(), end, now);
    if (end == TaskEnd.COMPLETED) {
      team.queue(task.workClass()).recordCompletion(now - reservation.startedMillis());
    }
    return reservation;
  }

  /**
   * Raises the reservation of a task to its usage, as far as its worker has free resources.
   *
   * <p>Without this, the resources that a task uses beyond its declaration would count as free, and
   * the next task would be placed on them.
   */
  void raise(Reservation reservation, Resources used) {
    PlacedTask task = reservation.task();
    WorkerState worker = fleet.worker(task.worker());
    Resources before = task.reserved();
    Resources free = worker.free();
    Resources after =
        new Resources(
            raised(before.milliProcessors(), used.milliProcessors(), free.milliProcessors()),
            raised(before.memoryMebibytes(), used.memoryMebibytes(), free.memoryMebibytes()),
            before.accelerators());
    if (after.equals(before)) {
      return;
    }
    Reservation larger = reservation.withReserved(after);
    fleet.release(worker, reservation);
    fleet.reserve(worker, larger);
    reservations.put(task.taskId(), larger);
    TeamState team = order.team(task.taskId().key().team());
    order.update(team, () -> team.resizePlacedTask(before, after));
  }

  private static long raised(long reserved, long used, long free) {
    return Math.max(reserved, Math.min(used, reserved + free));
  }

  /** Releases the reservations of all tasks of a worker, which is lost. */
  List<TaskId> releaseAll(WorkerState worker, long now) {
    List<TaskId> taskIds = new ArrayList<>();
    worker.reservations().forEach(reservation -> taskIds.add(reservation.task().taskId()));
    taskIds.forEach(taskId -> release(taskId, TaskEnd.LOST, now));
    return taskIds;
  }
}
