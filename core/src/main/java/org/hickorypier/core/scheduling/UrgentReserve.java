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
  private static final long URGENT_IDLE_MILLIS = 60_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final double reservedFraction;
  private final Fleet fleet;
  private final Set<WorkerState> workers = new LinkedHashSet<>();
  private Resources gapSize = Resources.NONE;
  private long latestUrgentMillis = NEVER;
  private boolean active;

  UrgentReserve(double part, Fleet fleet) {
    this.reservedFraction = part;
    this.fleet = fleet;
  }

  /** Notes urgent work and its size; the reserve is for the largest size of late. */
  void recordUrgentWork(Resources size, long now) {
    if (latestUrgentMillis + URGENT_IDLE_MILLIS < now) {
      gapSize = Resources.NONE;
    }
    latestUrgentMillis = now;
    if (!size.fitsInto(gapSize)) {
      gapSize =
          new Resources(
              Math.max(gapSize.milliProcessors(), size.milliProcessors()),
              Math.max(gapSize.memoryMebibytes(), size.memoryMebibytes()),
              Math.max(gapSize.accelerators(), size.accelerators()));
    }
  }

  /** Tells whether work that is not urgent may use a worker's room for a task. */
  boolean admits(WorkerState worker, Resources size) {
    return !worker.isReserveForUrgent() || worker.hasRoomBeside(gapSize, size);
  }

  /** Takes a worker with freed room into the reserve if it lacks one. */
  void reserveIfNeeded(WorkerState worker) {
    if (!active || worker.isReserveForUrgent() || worker.heldBy() != null) {
      return;
    }
    if (workers.size() < targetGaps() && worker.takesTasks() && worker.hasRoomFor(gapSize)) {
      workers.add(worker);
      worker.setReserveForUrgent(true);
    }
  }

  /** Takes a worker out of the reserve once it has no gap any more. */
  void releaseIfFilled(WorkerState worker) {
    if (worker.isReserveForUrgent() && !(worker.takesTasks() && worker.hasRoomFor(gapSize))) {
      release(worker);
    }
  }

  void removeWorker(WorkerState worker) {
    if (worker.isReserveForUrgent()) {
      release(worker);
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
    active = !overdue && latestUrgentMillis + URGENT_IDLE_MILLIS >= now;
    if (workers.isEmpty() || active) {
      return Set.of();
    }
    Set<WorkerState> released = new LinkedHashSet<>(workers);
    released.forEach(this::release);
    return released;
  }

  private void release(WorkerState worker) {
    workers.remove(worker);
    worker.setReserveForUrgent(false);
  }

  /** Returns how many gaps take up the part, of the slots or of the scarcest resource. */
  private int targetGaps() {
    double bySlots = fleet.totalSlots() * reservedFraction;
    double share = gapSize.dominantShare(fleet.total());
    return (int) (share == 0 ? bySlots : Math.min(bySlots, reservedFraction / share));
  }
}
