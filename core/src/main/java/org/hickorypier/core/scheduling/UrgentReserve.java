package org.hickorypier.core.scheduling;

import java.util.LinkedHashSet;
import java.util.Set;
import org.hickorypier.core.model.Resources;

/**
 * Keeps a few gaps on a full fleet free for urgent work.
 *
 * <p>Made for a demand far above the capacity: every place that comes free is taken at once, so
 * urgent work would wait for the next end of a task. A small part of all slots is kept free
 * instead, on whichever workers tasks end, so that the reserve fills up again as fast as places
 * come free. It costs that part of the capacity, and only while urgent work comes at all.
 *
 * <p>Invariant: exactly the workers of the set are marked. Not thread safe.
 */
final class UrgentReserve {

  /** After this time without urgent work nothing is kept free any more. */
  private static final long FORGET_MILLIS = 60_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final double part;
  private final Fleet fleet;
  private final Set<WorkerState> workers = new LinkedHashSet<>();
  private Resources need = Resources.NONE;
  private long latestUrgentMillis = NEVER;
  private boolean active;

  UrgentReserve(double part, Fleet fleet) {
    this.part = part;
    this.fleet = fleet;
  }

  /** Notes urgent work and its size; the reserve is for the largest size of late. */
  void urgentCame(Resources size, long now) {
    if (latestUrgentMillis + FORGET_MILLIS < now) {
      need = Resources.NONE;
    }
    latestUrgentMillis = now;
    if (!size.fitsInto(need)) {
      need =
          new Resources(
              Math.max(need.milliProcessors(), size.milliProcessors()),
              Math.max(need.memoryMebibytes(), size.memoryMebibytes()),
              Math.max(need.accelerators(), size.accelerators()));
    }
  }

  /** Tells whether work that is not urgent may use a worker's room for a task. */
  boolean admits(WorkerState worker, Resources size) {
    return !worker.isReserveForUrgent() || worker.hasRoomForBoth(need, size);
  }

  /** Takes a worker with freed room into the reserve if it lacks one. */
  void roomFreed(WorkerState worker) {
    if (!active || worker.isReserveForUrgent() || worker.currentHold() != null) {
      return;
    }
    if (workers.size() < wanted() && worker.acceptsTasks() && worker.hasRoomFor(need)) {
      workers.add(worker);
      worker.setReserveForUrgent(true);
    }
  }

  /** Takes a worker out of the reserve once it has no gap any more. */
  void roomTaken(WorkerState worker) {
    if (worker.isReserveForUrgent() && !(worker.acceptsTasks() && worker.hasRoomFor(need))) {
      drop(worker);
    }
  }

  void forget(WorkerState worker) {
    if (worker.isReserveForUrgent()) {
      drop(worker);
    }
  }

  /**
   * Ends the reserve if no urgent work came for a while, or if urgent work has held all other work
   * back for too long; what comes free is then for the others to take in their turn.
   *
   * @param overdue whether other work is overdue
   * @param now the time
   * @return the workers that are no longer in the reserve
   */
  Set<WorkerState> refresh(boolean overdue, long now) {
    active = !overdue && latestUrgentMillis + FORGET_MILLIS >= now;
    if (workers.isEmpty() || active) {
      return Set.of();
    }
    Set<WorkerState> released = new LinkedHashSet<>(workers);
    released.forEach(this::drop);
    return released;
  }

  private void drop(WorkerState worker) {
    workers.remove(worker);
    worker.setReserveForUrgent(false);
  }

  /** Returns how many gaps take up the part, of the slots or of the scarcest resource. */
  private int wanted() {
    double bySlots = fleet.totalSlots() * part;
    double share = need.dominantShare(fleet.total());
    return (int) (share == 0 ? bySlots : Math.min(bySlots, part / share));
  }
}
