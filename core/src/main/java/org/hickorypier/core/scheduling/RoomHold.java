package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;

/**
 * Keeps workers free for one gang, or one large task, that has waited long.
 *
 * <p>Made for a busy fleet, where each gap is filled by small work before a gang finds enough of
 * them at once: without this it would wait for ever. A fixed set of workers, those that come free
 * first, takes only work that is expected to end before the gang can start there; past that moment
 * it takes none. So the room only grows until the gang fits, also when run times are declared
 * wrong. One hold at a time: two that each wait for the other's workers could block both, and the
 * room that lies idle stays that of one gang.
 *
 * <p>Invariant: exactly the workers of the set name the owner as who they are held for. Not thread
 * safe.
 */
final class RoomHold {

  /** A single task is large if it takes more than this part of a worker. */
  private static final double LARGE_PART = 0.25;

  private static final long CHECK_MILLIS = 500;

  private record Candidate(WorkerState worker, long freeAtMillis, int tasks) {}

  private final long holdAfterMillis;
  private final Fleet fleet;
  private final FairOrder order;
  private final List<WorkerState> workers = new ArrayList<>();
  private QueuedItem owner;
  private long startMillis;
  private long nextCheckMillis = Long.MIN_VALUE;

  RoomHold(long holdAfterMillis, Fleet fleet, FairOrder order) {
    this.holdAfterMillis = holdAfterMillis;
    this.fleet = fleet;
    this.order = order;
  }

  /** Returns the item that workers are held for, or null. */
  QueuedItem owner() {
    return owner;
  }

  /** Tells whether a worker may be used for an item now. */
  boolean admits(QueuedItem queued, WorkerState worker, long now) {
    return worker.heldFor() == null
        || worker.heldFor() == queued
        || now + queued.item().expectedRunMillis() <= startMillis;
  }

  /**
   * Ends the hold if it is of no more use.
   *
   * @param now the time
   * @return the workers that are no longer held
   */
  List<WorkerState> releaseIfUseless(long now) {
    return owner != null && !isOfUse(now) ? release() : List.of();
  }

  /**
   * Begins a hold if there is none and an item has waited long enough.
   *
   * @param now the time
   */
  void holdIfStarving(long now) {
    if (owner != null || now < nextCheckMillis) {
      return;
    }
    nextCheckMillis = now + CHECK_MILLIS;
    QueuedItem starving = longestInVain(now);
    if (starving != null) {
      hold(starving, now);
    }
  }

  private boolean isOfUse(long now) {
    if (owner.isGone() || owner.isTooLate(now) || !hasPermits(owner)) {
      return false;
    }
    for (WorkerState worker : workers) {
      if (!worker.takesTasksWhenFree() || fleet.worker(worker.name()) != worker) {
        return false;
      }
    }
    return true;
  }

  private List<WorkerState> release() {
    final List<WorkerState> released = new ArrayList<>(workers);
    workers.forEach(worker -> worker.holdFor(null));
    workers.clear();
    owner = null;
    return released;
  }

  private QueuedItem longestInVain(long now) {
    QueuedItem longest = null;
    for (TeamState team : order.waiting()) {
      for (WorkClass workClass : WorkClass.values()) {
        QueuedItem head = team.queue(workClass).head();
        if (head != null
            && head.inVainSinceMillis() + holdAfterMillis <= now
            && (longest == null || head.inVainSinceMillis() < longest.inVainSinceMillis())
            && !head.isTooLate(now)
            && isGangOrLarge(head)
            && hasPermits(head)) {
          longest = head;
        }
      }
    }
    return longest;
  }

  private boolean isGangOrLarge(QueuedItem queued) {
    if (queued.item().workClass() == WorkClass.GANG) {
      return true;
    }
    Resources average = fleet.total();
    return queued.need().dominantShare(average) * fleet.size() > LARGE_PART;
  }

  private boolean hasPermits(QueuedItem queued) {
    return order.team(queued.item().key().team()).freePermits() >= tasksTogether(queued);
  }

  private static int tasksTogether(QueuedItem queued) {
    return queued.item().workClass() == WorkClass.GANG ? queued.waitingTasks() : 1;
  }

  private void hold(QueuedItem starving, long now) {
    List<Candidate> candidates = new ArrayList<>();
    for (WorkerState worker : fleet.workers()) {
      int tasks = worker.takesTasksWhenFree() ? worker.tasksWhenFree(starving.need()) : 0;
      if (tasks > 0) {
        candidates.add(new Candidate(worker, Math.max(now, worker.freeAtMillis()), tasks));
      }
    }
    candidates.sort(Comparator.comparingLong(Candidate::freeAtMillis));
    int missing = tasksTogether(starving);
    for (Candidate candidate : candidates) {
      if (missing <= 0) {
        break;
      }
      missing -= candidate.tasks();
      startMillis = candidate.freeAtMillis();
      workers.add(candidate.worker());
      candidate.worker().holdFor(starving);
    }
    owner = starving;
    if (missing > 0) {
      release();
    }
  }
}
