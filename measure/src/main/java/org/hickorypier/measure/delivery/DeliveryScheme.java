package org.hickorypier.measure.delivery;

/** A way to bring every instance's updates to all others. Implementations are deterministic. */
interface DeliveryScheme {

  /** The name in the report. */
  String name();

  /** How many other instances the busiest instance keeps a link to. */
  int links();

  /**
   * Delivers one update.
   *
   * @param source who sends it
   * @param round counts the updates of the source
   * @param health which instances are dead, and whether the others have noticed
   */
  Broadcast broadcast(int source, int round, Health health);
}
