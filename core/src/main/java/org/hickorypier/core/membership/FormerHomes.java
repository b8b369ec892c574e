package org.hickorypier.core.membership;

import java.util.Set;

/**
 * The instances that may have accepted work before its present home did.
 *
 * <p>Immutable.
 *
 * @param others the other instances that were home of the work
 * @param ownEarlierIncarnation whether an earlier incarnation of this instance was its home
 * @param complete whether no further instance can have been its home; false if not enough is known
 */
public record FormerHomes(Set<String> others, boolean ownEarlierIncarnation, boolean complete) {

  /** Creates an immutable copy of the set. */
  public FormerHomes {
    others = Set.copyOf(others);
  }

  /**
   * Returns whether the present home is certain to be the only one.
   *
   * @return true if no other incarnation can have accepted the work
   */
  public boolean areRuledOut() {
    return complete && !ownEarlierIncarnation && others.isEmpty();
  }
}
