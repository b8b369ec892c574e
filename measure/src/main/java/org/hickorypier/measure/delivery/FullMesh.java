package org.hickorypier.measure.delivery;

/** Everybody sends to everybody. Immutable. */
record FullMesh(int instances) implements DeliveryScheme {

  @Override
  public String name() {
    return "mesh";
  }

  @Override
  public int links() {
    return instances - 1;
  }

  @Override
  public Broadcast broadcast(int source, int round, Health health) {
    Broadcast broadcast = new Broadcast(instances, source);
    for (int to = 0; to < instances; to++) {
      if (to != source && !health.isDead(to)) {
        broadcast.copy(source, to);
      }
    }
    return broadcast;
  }
}
