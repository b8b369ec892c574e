package org.hickorypier.core.scheduling;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkerDescription;

/**
 * A worker with its reservations.
 *
 * <p>Invariant: the free amounts are the capacity less the sums over the reservations. They are
 * negative only through adopted tasks, which run whether or not they fit. Confined to the control
 * thread.
 */
final class WorkerState {

  private final Map<TaskId, Reservation> tasks = new LinkedHashMap<>();
  private WorkerDescription description;
  private boolean open;
  private long freeMilliProcessors;
  private long freeMemoryMebibytes;
  private int freeAccelerators;
  private int freeSlots;
  private final WorkerHealth health = new WorkerHealth();
  private Hold currentHold;
  private boolean reserveForUrgent;
  private final FreeCapacityIndex.Position[] positions =
      new FreeCapacityIndex.Position[FreeCapacityIndex.Scope.values().length];

  WorkerState(WorkerDescription description, boolean open) {
    this.description = description;
    this.open = open;
    recomputeFree();
  }

  WorkerDescription description() {
    return description;
  }

  String name() {
    return description.name();
  }

  void update(WorkerDescription newDescription, boolean newOpen) {
    description = newDescription;
    open = newOpen;
    recomputeFree();
  }

  WorkerHealth health() {
    return health;
  }

  /** Returns the hold that contains the worker, or null. */
  Hold currentHold() {
    return currentHold;
  }

  /** Returns whether free resources of this worker are reserved for urgent work. */
  boolean isReserveForUrgent() {
    return reserveForUrgent;
  }

  void setReserveForUrgent(boolean reserve) {
    reserveForUrgent = reserve;
  }

  void setHold(Hold hold) {
    currentHold = hold;
  }

  /** Returns whether the worker may get another task, regardless of the size of the task. */
  boolean acceptsTasks() {
    return open && freeSlots > 0 && health.admits(tasks.size());
  }

  /** Returns whether the worker may get several tasks once its current ones have ended. */
  boolean acceptsTasksWhenIdle() {
    return open && health.state() == WorkerHealth.State.GOOD;
  }

  /** Returns how many tasks of a size fit when only the services of the worker remain. */
  int taskCapacityWhenIdle(Resources need) {
    long processors = description.capacity().milliProcessors();
    long memory = description.capacity().memoryMebibytes();
    long accelerators = description.capacity().accelerators();
    long slots = description.slots();
    for (Reservation reservation : tasks.values()) {
      if (isService(reservation)) {
        processors -= reservation.task().reserved().milliProcessors();
        memory -= reservation.task().reserved().memoryMebibytes();
        accelerators -= reservation.task().reserved().accelerators();
        slots--;
      }
    }
    long maxTasks = slots;
    maxTasks = Math.min(maxTasks, fittingTasks(processors, need.milliProcessors()));
    maxTasks = Math.min(maxTasks, fittingTasks(memory, need.memoryMebibytes()));
    return (int) Math.max(0, Math.min(maxTasks, fittingTasks(accelerators, need.accelerators())));
  }

  /**
   * Returns when all tasks except services are expected to have ended, or {@link Long#MIN_VALUE} if
   * there are none.
   */
  long expectedIdleMillis() {
    long latest = Long.MIN_VALUE;
    for (Reservation reservation : tasks.values()) {
      if (!isService(reservation)) {
        latest = Math.max(latest, reservation.expectedEndMillis());
      }
    }
    return latest;
  }

  private static boolean isService(Reservation reservation) {
    return reservation.task().workClass() == WorkClass.SERVICE;
  }

  private static long fittingTasks(long free, long need) {
    return need == 0 ? Integer.MAX_VALUE : free / need;
  }

  Collection<Reservation> reservations() {
    return tasks.values();
  }

  void add(Reservation reservation) {
    tasks.put(reservation.task().taskId(), reservation);
    subtractFree(reservation.task().reserved());
  }

  void remove(Reservation reservation) {
    tasks.remove(reservation.task().taskId());
    Resources reserved = reservation.task().reserved();
    freeMilliProcessors += reserved.milliProcessors();
    freeMemoryMebibytes += reserved.memoryMebibytes();
    freeAccelerators += reserved.accelerators();
    freeSlots++;
  }

  boolean hasRoomFor(Resources need) {
    return freeSlots > 0
        && need.milliProcessors() <= freeMilliProcessors
        && need.memoryMebibytes() <= freeMemoryMebibytes
        && need.accelerators() <= freeAccelerators;
  }

  /** Returns whether a task fits together with another one. */
  boolean hasRoomForBoth(Resources other, Resources need) {
    return freeSlots > 1
        && need.milliProcessors() + other.milliProcessors() <= freeMilliProcessors
        && need.memoryMebibytes() + other.memoryMebibytes() <= freeMemoryMebibytes
        && need.accelerators() + other.accelerators() <= freeAccelerators;
  }

  long freeMilliProcessors() {
    return freeMilliProcessors;
  }

  long freeMemoryMebibytes() {
    return freeMemoryMebibytes;
  }

  int freeAccelerators() {
    return freeAccelerators;
  }

  int freeSlots() {
    return freeSlots;
  }

  /** Returns the fraction of slots in use, from 0 to 1, or above 1 through adopted tasks. */
  double load() {
    return 1.0 - (double) freeSlots / description.slots();
  }

  Resources free() {
    return new Resources(
        Math.max(0, freeMilliProcessors),
        Math.max(0, freeMemoryMebibytes),
        Math.max(0, freeAccelerators));
  }

  WorkerSnapshot snapshot() {
    return new WorkerSnapshot(description, free(), Math.max(0, freeSlots), stateName());
  }

  private String stateName() {
    if (!open) {
      return "closed";
    }
    return switch (health.state()) {
      case GOOD -> "open";
      case QUARANTINED -> "quarantined";
      case PROBING -> "probing";
    };
  }

  FreeCapacityIndex.Position position(FreeCapacityIndex.Scope scope) {
    return positions[scope.ordinal()];
  }

  void setPosition(FreeCapacityIndex.Scope scope, FreeCapacityIndex.Position position) {
    positions[scope.ordinal()] = position;
  }

  private void recomputeFree() {
    Resources capacity = description.capacity();
    freeMilliProcessors = capacity.milliProcessors();
    freeMemoryMebibytes = capacity.memoryMebibytes();
    freeAccelerators = capacity.accelerators();
    freeSlots = description.slots();
    tasks.values().forEach(reservation -> subtractFree(reservation.task().reserved()));
  }

  private void subtractFree(Resources reserved) {
    freeMilliProcessors -= reserved.milliProcessors();
    freeMemoryMebibytes -= reserved.memoryMebibytes();
    freeAccelerators -= reserved.accelerators();
    freeSlots--;
  }
}
