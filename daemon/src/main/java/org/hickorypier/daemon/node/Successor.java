package org.hickorypier.daemon.node;

import java.util.Comparator;

/**
 * An instance that the owner may hand over to.
 *
 * <p>Load: a rolling restart stops one instance every two seconds. Harm prevented: the cell was
 * handed to instances that the restart had still before it, five owners in ten seconds, each a
 * pause for all callers. Of machines that are alike the one that was started last comes first,
 * since a rolling restart has passed it. Immutable.
 *
 * @param peer the instance
 * @param strength what its machine can carry
 * @param startedAt when it was started, by the owner's steady clock, in milliseconds
 */
record Successor(Peer peer, int strength, long startedAt) {

  /** The best first. */
  static final Comparator<Successor> ORDER =
      Comparator.comparingInt((Successor each) -> -each.strength)
          .thenComparingLong(each -> -each.startedAt);
}
