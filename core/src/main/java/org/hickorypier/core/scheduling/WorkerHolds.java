package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hickorypier.core.model.WorkClass;

/**
 * Holds workers for gangs and large tasks that have waited long.
 *
 * <p>On a busy fleet small work fills each gap before a gang finds enough of them at once, so
 * without holds a gang could starve. A hold covers a fixed set of workers: of those examined, the
 * ones expected to become idle first. They take only work that is expected to end before the gang
 * can start there, and no work after that time, so their free resources only grow until the gang
 * fits, even if declared run times are wrong. Holds share no worker, so no gang waits for workers
 * held for another. All holds together cover a small fraction of the fleet, which bounds the idle
 * capacity.
 *
 * <p>Invariant: a worker refers to a hold if and only if the hold contains it. Confined to the
 * control thread.
 */
final class WorkerHolds {

  /** A single task is large if it needs more than this fraction of an average worker. */
  private static final double LARGE_TASK_WORKER_FRACTION = 0.25;

  /** The number of holds is limited because every placement round tries each of their owners. */
  private static final int MAX_HOLDS = 8;

  /** Maximum fraction of workers held at once, unless a single gang needs more. */
  private static final double MAX_HELD_WORKER_FRACTION = 0.125;

  /**
   * Workers examined for a hold, if they suffice. Examining all workers of a large fleet would take
   * a millisecond.
   */
  private static final int SCANNED_WORKERS = 256;

  private static final long CHECK_INTERVAL_MILLIS = 100;

  private record Candidate(WorkerState worker, long freeAtMillis, int tasks) {}

  private final long holdAfterMillis;
  private final Fleet fleet;
  private final FairOrder order;
  private final RandomGenerator random;
  private final List<Hold> holds = new ArrayList<>();
  private int heldWorkers;
  private long nextCheckMillis = Long.MIN_VALUE;

  WorkerHolds(long holdAfterMillis, Fleet fleet, FairOrder order, RandomGenerator random) {
    this.holdAfterMillis = holdAfterMillis;
    this.fleet = fleet;
    this.order = order;
    this.random = random;
  }

  /** Returns the items that own a hold. */
  List<QueuedItem> owners() {
    return holds.isEmpty() ? List.of() : holds.stream().map(Hold::owner).toList();
  }

  /**
   * Ends the holds whose owner has left the queue, is past its deadline or lacks permits, and those
   * with a worker that is gone, closed or unhealthy.
   *
   * @param now the time in milliseconds of the monotonic clock
   * @return the workers that are no longer held
   */
  List<WorkerState> releaseObsolete(long now) {
    if (holds.isEmpty()) {
      return List.of();
    }
    List<WorkerState> released = new ArrayList<>();
    for (Iterator<Hold> each = holds.iterator(); each.hasNext(); ) {
      Hold hold = each.next();
      if (!isUsable(hold, now)) {
        hold.owner().setHasHold(false);
        hold.workers().forEach(worker -> worker.setHold(null));
        released.addAll(hold.workers());
        heldWorkers -= hold.workers().size();
        each.remove();
      }
    }
    return released;
  }

  /**
   * Creates a hold for the item that has been starving longest, if it has done so for the hold
   * delay and few workers are held.
   *
   * @param now the time in milliseconds of the monotonic clock
   */
  void holdForStarvingItem(long now) {
    if (now < nextCheckMillis || holds.size() >= MAX_HOLDS) {
      return;
    }
    nextCheckMillis = now + CHECK_INTERVAL_MILLIS;
    if (!holds.isEmpty() && heldWorkers >= fleet.size() * MAX_HELD_WORKER_FRACTION) {
      return;
    }
    QueuedItem starving = longestStarving(now);
    if (starving != null) {
      hold(starving, now);
    }
  }

  private boolean isUsable(Hold hold, long now) {
    QueuedItem owner = hold.owner();
    if (owner.isRemoved() || owner.isExpired(now) || !hasPermits(owner)) {
      return false;
    }
    for (WorkerState worker : hold.workers()) {
      if (!worker.acceptsTasksWhenIdle() || fleet.worker(worker.name()) != worker) {
        return false;
      }
    }
    return true;
  }

  private QueuedItem longestStarving(long now) {
    QueuedItem longest = null;
    for (TeamState team : order.orderedTeams()) {
      for (WorkClass workClass : WorkClass.values()) {
        QueuedItem head = firstWithoutHold(team.queue(workClass));
        if (head != null
            && head.firstFailedPlacementMillis() + holdAfterMillis <= now
            && (longest == null
                || head.firstFailedPlacementMillis() < longest.firstFailedPlacementMillis())
            && isEligible(head, now)) {
          longest = head;
        }
      }
    }
    return longest;
  }

  private static QueuedItem firstWithoutHold(ClassQueue queue) {
    for (QueuedItem queued : queue.items()) {
      if (!queued.hasHold()) {
        return queued;
      }
    }
    return null;
  }

  private boolean isEligible(QueuedItem head, long now) {
    return !head.isExpired(now) && isGangOrLarge(head) && hasPermits(head);
  }

  private boolean isGangOrLarge(QueuedItem queued) {
    return queued.item().workClass() == WorkClass.GANG
        || queued.need().dominantShare(fleet.total()) * fleet.size() > LARGE_TASK_WORKER_FRACTION;
  }

  private boolean hasPermits(QueuedItem queued) {
    return order.team(queued.item().key().team()).freePermits() >= minTasksToStart(queued);
  }

  private static int minTasksToStart(QueuedItem queued) {
    return queued.item().workClass() == WorkClass.GANG ? queued.waitingTasks() : 1;
  }

  private void hold(QueuedItem starving, long now) {
    List<WorkerState> workers = new ArrayList<>();
    long startMillis = now;
    int missing = minTasksToStart(starving);
    for (Candidate candidate : candidates(starving, now)) {
      if (missing <= 0) {
        break;
      }
      missing -= candidate.tasks();
      startMillis = candidate.freeAtMillis();
      workers.add(candidate.worker());
    }
    if (missing > 0) {
      return;
    }
    Hold hold = new Hold(starving, workers, startMillis);
    holds.add(hold);
    heldWorkers += workers.size();
    starving.setHasHold(true);
    workers.forEach(worker -> worker.setHold(hold));
  }

  /**
   * Returns workers that could run tasks of the item, ordered by when they are expected to be idle.
   */
  private List<Candidate> candidates(QueuedItem starving, long now) {
    List<Candidate> candidates = new ArrayList<>();
    int enough = minTasksToStart(starving);
    int found = 0;
    int start = fleet.size() == 0 ? 0 : random.nextInt(fleet.size());
    for (int i = 0; i < fleet.size() && (i < SCANNED_WORKERS || found < enough); i++) {
      WorkerState worker = fleet.at((start + i) % fleet.size());
      boolean usable =
          worker.acceptsTasksWhenIdle()
              && worker.currentHold() == null
              && !worker.isReserveForUrgent();
      int tasks = usable ? worker.taskCapacityWhenIdle(starving.need()) : 0;
      if (tasks > 0) {
        candidates.add(new Candidate(worker, Math.max(now, worker.expectedIdleMillis()), tasks));
        found += tasks;
      }
    }
    candidates.sort(Comparator.comparingLong(Candidate::freeAtMillis));
    return candidates;
  }
}
