package org.hickorypier.core.routing;

/** The routing decision for a piece of work. Immutable. */
public sealed interface Route {

  /** The work is placed on workers of this instance now. */
  record Local() implements Route {}

  /**
   * The work is forwarded to a peer that reports enough free capacity.
   *
   * @param peer the peer's name
   */
  record Forward(String peer) implements Route {}

  /** The work is queued at this instance, its home. */
  record Queue() implements Route {}

  /** The work is returned to its home, which queues it; it must not be forwarded any further. */
  record Return() implements Route {}
}
