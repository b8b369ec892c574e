package org.hickorypier.daemon.owner;

import java.util.List;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.daemon.link.LinkRequest;

/**
 * What may still run on the workers from an ownership of this instance that has ended.
 *
 * <p>Immutable.
 *
 * @param epoch the epoch of the ownership
 * @param roster what may still run on each worker, and how long after the end its lease lasts
 * @param endedAt when the ownership ended, in milliseconds of this instance's monotonic clock
 */
record FormerOwnership(int epoch, List<RosterEntry> roster, long endedAt) {

  FormerOwnership {
    roster = List.copyOf(roster);
  }

  /**
   * Returns the message to the successor, with the rest of each lease at a time of the same clock.
   */
  LinkRequest.FormerOwner toMessage(long now) {
    long elapsed = now - endedAt;
    return new LinkRequest.FormerOwner(
        epoch, roster.stream().map(entry -> entry.afterElapsed(elapsed)).toList());
  }
}
