package org.hickorypier.daemon.owner;

import java.util.List;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.daemon.link.LinkRequest;

/**
 * What an instance left on the workers when it ceased to own the cell.
 *
 * <p>Immutable.
 *
 * @param epoch the epoch of the ownership
 * @param roster what may still run where, and how long after the end its leases last
 * @param endedAt when it ended, on this instance's steady clock
 */
record FormerOwnership(int epoch, List<RosterEntry> roster, long endedAt) {

  FormerOwnership {
    roster = List.copyOf(roster);
  }

  /** Returns the message for the successor, with what is left of the leases. */
  LinkRequest.FormerOwner toMessage(long now) {
    long elapsed = now - endedAt;
    return new LinkRequest.FormerOwner(
        epoch, roster.stream().map(entry -> entry.afterElapsed(elapsed)).toList());
  }
}
