package org.hickorypier.core.membership;

import java.util.Set;

/**
 * Who may have taken work in before its present home.
 *
 * <p>Immutable.
 *
 * @param others the other instances that were its home
 * @param ownEarlierIncarnation whether an earlier incarnation of this instance was
 * @param complete whether no other instance can have been; false if not enough is known
 */
public record FormerHomes(Set<String> others, boolean ownEarlierIncarnation, boolean complete) {

  /** Copies the set. */
  public FormerHomes {
    others = Set.copyOf(others);
  }

  /**
   * Tells whether the present home is certain to be the only one.
   *
   * @return true if nobody else can have taken the work in
   */
  public boolean areRuledOut() {
    return complete && !ownEarlierIncarnation && others.isEmpty();
  }
}
