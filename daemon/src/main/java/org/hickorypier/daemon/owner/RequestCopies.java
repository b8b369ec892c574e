package org.hickorypier.daemon.owner;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.admission.CopyOutcome;
import org.hickorypier.daemon.link.Link;

/**
 * The copies of one request that were sent to owners of the cell, and what became of them.
 *
 * <p>Confined to the control thread.
 */
final class RequestCopies {

  private final List<CopyOutcome> outcomes = new ArrayList<>();

  /** The link of the last copy, or null if this instance was the owner. */
  private Link lastLink;

  /** Adds a copy that is being sent, and returns its number. */
  int add(Link link) {
    lastLink = link;
    outcomes.add(CopyOutcome.OPEN);
    return outcomes.size() - 1;
  }

  /** Records the outcome of a copy. */
  void record(int copy, CopyOutcome outcome) {
    outcomes.set(copy, outcome);
  }

  /** Returns whether no copy was sent after this one. */
  boolean isLast(int copy) {
    return copy == outcomes.size() - 1;
  }

  /** Returns whether the last copy was sent over a link. */
  boolean isLastSentOver(Link link) {
    return !outcomes.isEmpty() && lastLink == link;
  }

  /** Returns the outcomes of all copies, oldest first. */
  List<CopyOutcome> outcomes() {
    return List.copyOf(outcomes);
  }
}
