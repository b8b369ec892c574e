package org.hickorypier.measure.delivery;

/** Everybody sends to everybody. Immutable. */
record FullMesh(int instances) implements DeliveryScheme {

  @Override
  public String name() {
    return "full mesh";
  }

  @Override
  public int links() {
    return instances - 1;
  }

  @Override
  public Spread spread(int source, int round, Health health) {
    Spread spread = new Spread(instances, source);
    for (int to = 0; to < instances; to++) {
      if (to != source && !health.isDead(to)) {
        spread.copy(source, to);
      }
    }
    return spread;
  }
}
