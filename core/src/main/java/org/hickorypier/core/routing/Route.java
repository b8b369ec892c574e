package org.hickorypier.core.routing;

/** Where a piece of work goes next. Immutable. */
public sealed interface Route {

  /** It is placed on a worker of this instance now. */
  record Local() implements Route {}

  /**
   * It is handed to a peer that seems to have room.
   *
   * @param peer the peer's name
   */
  record Forward(String peer) implements Route {}

  /** It waits here, at its home. */
  record Queue() implements Route {}

  /** It goes back to its home, which queues it; it may not be handed on any further. */
  record Return() implements Route {}
}
