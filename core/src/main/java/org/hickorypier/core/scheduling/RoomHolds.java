package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hickorypier.core.model.WorkClass;

/**
 * Keeps workers free for gangs and large tasks that have waited long.
 *
 * <p>Made for a busy fleet, where each gap is filled by small work before a gang finds enough of
 * them at once: without this it would wait for ever. A fixed set of workers, those that come free
 * first, takes only work that is expected to end before the gang can start there; past that moment
 * it takes none. So the room only grows until the gang fits, also when run times are declared
 * wrong. The sets of two holds have no worker in common, so no gang waits for another's; all of
 * them together are a small part of the fleet, so little room lies idle.
 *
 * <p>Invariant: exactly the workers of a hold name it. Not thread safe.
 */
final class RoomHolds {

  /** A single task is large if it takes more than this part of a worker. */
  private static final double LARGE_PART = 0.25;

  /** Each hold is tried at each round, so they are few. */
  private static final int MOST_HOLDS = 8;

  /** The part of the workers that may be held at once, unless a single gang needs more. */
  private static final double MOST_PART = 0.125;

  /**
   * Workers looked at for a hold, if they suffice; all of a large fleet would take a millisecond.
   */
  private static final int CANDIDATES = 256;

  private static final long CHECK_MILLIS = 100;

  private record Candidate(WorkerState worker, long freeAtMillis, int tasks) {}

  private final long holdAfterMillis;
  private final Fleet fleet;
  private final FairOrder order;
  private final RandomGenerator random;
  private final List<Hold> holds = new ArrayList<>();
  private int heldWorkers;
  private long nextCheckMillis = Long.MIN_VALUE;

  RoomHolds(long holdAfterMillis, Fleet fleet, FairOrder order, RandomGenerator random) {
    this.holdAfterMillis = holdAfterMillis;
    this.fleet = fleet;
    this.order = order;
    this.random = random;
  }

  /** Returns the items that workers are held for. */
  List<QueuedItem> owners() {
    return holds.isEmpty() ? List.of() : holds.stream().map(Hold::owner).toList();
  }

  /**
   * Ends the holds that are of no more use.
   *
   * @param now the time
   * @return the workers that are no longer held
   */
  List<WorkerState> releaseUseless(long now) {
    if (holds.isEmpty()) {
      return List.of();
    }
    List<WorkerState> released = new ArrayList<>();
    for (Iterator<Hold> each = holds.iterator(); each.hasNext(); ) {
      Hold hold = each.next();
      if (!isOfUse(hold, now)) {
        hold.owner().setHasHold(false);
        hold.workers().forEach(worker -> worker.holdBy(null));
        released.addAll(hold.workers());
        heldWorkers -= hold.workers().size();
        each.remove();
      }
    }
    return released;
  }

  /**
   * Begins a hold if an item has waited long enough and few workers are held.
   *
   * @param now the time
   */
  void holdForStarving(long now) {
    if (now < nextCheckMillis || holds.size() >= MOST_HOLDS) {
      return;
    }
    nextCheckMillis = now + CHECK_MILLIS;
    if (!holds.isEmpty() && heldWorkers >= fleet.size() * MOST_PART) {
      return;
    }
    QueuedItem starving = longestInVain(now);
    if (starving != null) {
      hold(starving, now);
    }
  }

  private boolean isOfUse(Hold hold, long now) {
    QueuedItem owner = hold.owner();
    if (owner.isRemoved() || owner.isExpired(now) || !hasPermits(owner)) {
      return false;
    }
    for (WorkerState worker : hold.workers()) {
      if (!worker.takesTasksWhenFree() || fleet.worker(worker.name()) != worker) {
        return false;
      }
    }
    return true;
  }

  private QueuedItem longestInVain(long now) {
    QueuedItem longest = null;
    for (TeamState team : order.orderedTeams()) {
      for (WorkClass workClass : WorkClass.values()) {
        QueuedItem head = firstNotHeldFor(team.queue(workClass));
        if (head != null
            && head.firstFailedPlacementMillis() + holdAfterMillis <= now
            && (longest == null
                || head.firstFailedPlacementMillis() < longest.firstFailedPlacementMillis())
            && mayHold(head, now)) {
          longest = head;
        }
      }
    }
    return longest;
  }

  private static QueuedItem firstNotHeldFor(ClassQueue queue) {
    for (QueuedItem queued : queue.items()) {
      if (!queued.hasHold()) {
        return queued;
      }
    }
    return null;
  }

  private boolean mayHold(QueuedItem head, long now) {
    return !head.isExpired(now) && isGangOrLarge(head) && hasPermits(head);
  }

  private boolean isGangOrLarge(QueuedItem queued) {
    return queued.item().workClass() == WorkClass.GANG
        || queued.need().dominantShare(fleet.total()) * fleet.size() > LARGE_PART;
  }

  private boolean hasPermits(QueuedItem queued) {
    return order.team(queued.item().key().team()).freePermits() >= tasksTogether(queued);
  }

  private static int tasksTogether(QueuedItem queued) {
    return queued.item().workClass() == WorkClass.GANG ? queued.waitingTasks() : 1;
  }

  private void hold(QueuedItem starving, long now) {
    List<WorkerState> workers = new ArrayList<>();
    long startMillis = now;
    int missing = tasksTogether(starving);
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
    workers.forEach(worker -> worker.holdBy(hold));
  }

  /**
   * Returns workers that could take tasks of the item, those that come free first before others.
   */
  private List<Candidate> candidates(QueuedItem starving, long now) {
    List<Candidate> candidates = new ArrayList<>();
    int enough = tasksTogether(starving);
    int found = 0;
    int start = fleet.size() == 0 ? 0 : random.nextInt(fleet.size());
    for (int i = 0; i < fleet.size() && (i < CANDIDATES || found < enough); i++) {
      WorkerState worker = fleet.at((start + i) % fleet.size());
      boolean usable =
          worker.takesTasksWhenFree() && worker.heldBy() == null && !worker.isReserveForUrgent();
      int tasks = usable ? worker.tasksWhenFree(starving.need()) : 0;
      if (tasks > 0) {
        candidates.add(new Candidate(worker, Math.max(now, worker.freeAtMillis()), tasks));
        found += tasks;
      }
    }
    candidates.sort(Comparator.comparingLong(Candidate::freeAtMillis));
    return candidates;
  }
}
