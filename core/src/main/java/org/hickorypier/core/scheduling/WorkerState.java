package org.hickorypier.core.scheduling;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
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
  private RoomIndex.Position position;

  WorkerState(WorkerDescription description, boolean open) {
    this.description = description;
    this.open = open;
    recount();
  }

  WorkerDescription description() {
    return description;
  }

  String name() {
    return description.name();
  }

  void describe(WorkerDescription newDescription, boolean newOpen) {
    description = newDescription;
    open = newOpen;
    recount();
  }

  boolean isOpen() {
    return open;
  }

  /** Tells whether the worker may get a task at all, whatever its size. */
  boolean takesTasks() {
    return open && freeSlots > 0;
  }

  Collection<Reservation> reservations() {
    return tasks.values();
  }

  void add(Reservation reservation) {
    tasks.put(reservation.task().taskId(), reservation);
    take(reservation.task().reserved());
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

  WorkerRoom room() {
    return new WorkerRoom(description, free(), Math.max(0, freeSlots), open ? "open" : "closed");
  }

  RoomIndex.Position position() {
    return position;
  }

  void moveTo(RoomIndex.Position newPosition) {
    position = newPosition;
  }

  private void recount() {
    Resources capacity = description.capacity();
    freeMilliProcessors = capacity.milliProcessors();
    freeMemoryMebibytes = capacity.memoryMebibytes();
    freeAccelerators = capacity.accelerators();
    freeSlots = description.slots();
    tasks.values().forEach(reservation -> take(reservation.task().reserved()));
  }

  private void take(Resources reserved) {
    freeMilliProcessors -= reserved.milliProcessors();
    freeMemoryMebibytes -= reserved.memoryMebibytes();
    freeAccelerators -= reserved.accelerators();
    freeSlots--;
  }
}
