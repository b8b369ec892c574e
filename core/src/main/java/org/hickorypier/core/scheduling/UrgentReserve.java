package org.hickorypier.core.scheduling;

import java.util.LinkedHashSet;
import java.util.Set;
import org.hickorypier.core.model.Resources;

/**
 * Keeps a few gaps on a full fleet free for urgent work.
 *
 * <p>When demand is far above the capacity, each freed slot is taken at once, so urgent work would
 * wait for the next end of a task. The reserve keeps a small fraction of all slots free on
 * whichever workers tasks end, so that it refills as fast as slots come free. It costs that
 * fraction of the capacity, and only while urgent work arrives.
 *
 * <p>Invariant: exactly the workers in the set are marked as reserved. Not thread-safe.
 */
final class UrgentReserve {

  /** The reserve ends after this time without urgent work. */
  private static final long URGENT_IDLE_MILLIS = 60_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final double reservedFraction;
  private final Fleet fleet;
  private final Set<WorkerState> workers = new LinkedHashSet<>();
  private Resources gapSize = Resources.NONE;
  private long latestUrgentMillis = NEVER;
  private boolean active;

  UrgentReserve(double reservedFraction, Fleet fleet) {
    this.reservedFraction = reservedFraction;
    this.fleet = fleet;
  }

  /**
   * Records the arrival and size of urgent work. Gaps have the largest size in each resource since
   * urgent work resumed.
   */
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

  /** Tells whether work that is not urgent may use the room of a worker for a task. */
  boolean admits(WorkerState worker, Resources size) {
    return !worker.isReserveForUrgent() || worker.hasRoomForBoth(gapSize, size);
  }

  /** Adds a worker with freed room to the reserve if the reserve has too few gaps. */
  void reserveIfNeeded(WorkerState worker) {
    if (!active || worker.isReserveForUrgent() || worker.currentHold() != null) {
      return;
    }
    if (workers.size() < targetGaps() && worker.acceptsTasks() && worker.hasRoomFor(gapSize)) {
      workers.add(worker);
      worker.setReserveForUrgent(true);
    }
  }

  /** Removes a worker from the reserve once it has no gap left. */
  void releaseIfFilled(WorkerState worker) {
    if (worker.isReserveForUrgent() && !(worker.acceptsTasks() && worker.hasRoomFor(gapSize))) {
      release(worker);
    }
  }

  void removeWorker(WorkerState worker) {
    if (worker.isReserveForUrgent()) {
      release(worker);
    }
  }

  /**
   * Ends the reserve if no urgent work has arrived for a while, or if urgent work has blocked all
   * other work for too long. Other work may then take the freed slots in its turn.
   *
   * @param overdue whether other work is overdue
   * @param now the time in milliseconds
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

  /**
   * Returns how many gaps make up the reserved fraction of the slots or of the scarcest resource,
   * whichever is fewer.
   */
  private int targetGaps() {
    double bySlots = fleet.totalSlots() * reservedFraction;
    double share = gapSize.dominantShare(fleet.total());
    return (int) (share == 0 ? bySlots : Math.min(bySlots, reservedFraction / share));
  }
}
