package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.WorkClass;

/**
 * Explains to operators why an item waits.
 *
 * <p>Stateless and thread-safe.
 */
final class Explanation {

  private Explanation() {}

  static String of(QueuedItem queued, TeamState team, Fleet fleet, long now) {
    String waited = "Has waited for " + (now - queued.item().submittedMillis()) + " ms: ";
    return waited + reason(queued, team, fleet);
  }

  private static String reason(QueuedItem queued, TeamState team, Fleet fleet) {
    boolean gang = queued.item().workClass() == WorkClass.GANG;
    int permitsNeeded = gang ? queued.waitingTasks() : 1;
    if (fleet.size() == 0) {
      return "this instance knows no worker.";
    }
    if (team.freePermits() < permitsNeeded) {
      return "the team uses "
          + team.placedTasks()
          + " of its "
          + team.permits()
          + " permits here and needs "
          + permitsNeeded
          + " more.";
    }
    if (fleet.workers().stream().noneMatch(WorkerState::acceptsTasks)) {
      return "no worker that takes new tasks has a free slot.";
    }
    if (queued.shape().isBlocked()) {
      return "no worker has room for one of its tasks.";
    }
    if (gang) {
      return "there is no room for all " + queued.waitingTasks() + " tasks of the gang at once.";
    }
    int ahead = itemsAhead(queued, team);
    return ahead > 0
        ? ahead + " items of the team and class are ahead of it."
        : "other teams come first in the fair order.";
  }

  private static int itemsAhead(QueuedItem queued, TeamState team) {
    int ahead = 0;
    for (QueuedItem other : team.queue(queued.item().workClass()).items()) {
      if (other == queued) {
        return ahead;
      }
      ahead++;
    }
    return ahead;
  }
}
