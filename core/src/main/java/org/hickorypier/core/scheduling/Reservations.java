package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;

/**
 * The placed tasks, and the one place where their room is taken and freed: on the worker, in the
 * team's use and in the history together.
 *
 * <p>Invariant: a task counts on its worker and in its team's use exactly if it is here. Not thread
 * safe.
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

  void take(WorkerState worker, Reservation reservation) {
    PlacedTask task = reservation.task();
    reservations.put(task.taskId(), reservation);
    fleet.reserve(worker, reservation);
    TeamState team = order.team(task.taskId().key().team());
    order.update(team, () -> team.addPlacedTask(task));
  }

  /**
   * Frees a task's room.
   *
   * @param taskId the task
   * @param end how it ended
   * @param now the time
   * @return the reservation, or null if there is none
   */
  Reservation free(TaskId taskId, TaskEnd end, long now) {
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
   * Raises a task's reservation towards what it uses, as far as its worker has room.
   *
   * <p>Made for tasks that use more than they declared: without it the next task would be put onto
   * room that is not there.
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

  /** Frees the room of all tasks of a worker. */
  List<TaskId> freeAll(WorkerState worker, long now) {
    List<TaskId> taskIds = new ArrayList<>();
    worker.reservations().forEach(reservation -> taskIds.add(reservation.task().taskId()));
    taskIds.forEach(taskId -> free(taskId, TaskEnd.LOST, now));
    return taskIds;
  }
}
