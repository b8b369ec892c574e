package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
    order.update(team, () -> team.taskPlaced(task.reserved()));
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
    order.update(team, () -> team.taskEnded(task.reserved()));
    history.taskEnded(taskId.key(), task.worker(), end, now);
    return reservation;
  }

  /** Frees the room of all tasks of a worker. */
  List<TaskId> freeAll(WorkerState worker, long now) {
    List<TaskId> taskIds = new ArrayList<>();
    worker.reservations().forEach(reservation -> taskIds.add(reservation.task().taskId()));
    taskIds.forEach(taskId -> free(taskId, TaskEnd.LOST, now));
    return taskIds;
  }
}
