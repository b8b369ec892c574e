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
 * <p>Invariant: the used amounts are the sums over the tasks. They exceed the capacity only by
 * adopted tasks, which run whether they fit or not. Not thread safe.
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

  /** Returns the hold that keeps the worker free, or null. */
  Hold currentHold() {
    return currentHold;
  }

  /** Tells whether a gap on this worker is kept free for urgent work. */
  boolean isReserveForUrgent() {
    return reserveForUrgent;
  }

  void setReserveForUrgent(boolean reserve) {
    reserveForUrgent = reserve;
  }

  void setHold(Hold hold) {
    currentHold = hold;
  }

  /** Tells whether the worker may get a task at all, whatever its size. */
  boolean acceptsTasks() {
    return open && freeSlots > 0 && health.admits(tasks.size());
  }

  /** Tells whether the worker may get several tasks once its present ones have ended. */
  boolean acceptsTasksWhenIdle() {
    return open && health.state() == WorkerHealth.State.GOOD;
  }

  /** Returns how many tasks of a size fit beside its services alone. */
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
    long most = slots;
    most = Math.min(most, fittingTasks(processors, need.milliProcessors()));
    most = Math.min(most, fittingTasks(memory, need.memoryMebibytes()));
    return (int) Math.max(0, Math.min(most, fittingTasks(accelerators, need.accelerators())));
  }

  /** Returns when its tasks but for services are expected to have ended. */
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

  private static long fittingTasks(long room, long need) {
    return need == 0 ? Integer.MAX_VALUE : room / need;
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

  /** Tells whether a task fits here together with another one. */
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

  /** Returns the used part of the slots, between 0 and 1, or above 1 by adopted tasks. */
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
