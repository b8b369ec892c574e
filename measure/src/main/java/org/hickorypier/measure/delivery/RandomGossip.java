package org.hickorypier.measure.delivery;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** Whoever hears an update for the first time sends it to some instances drawn at random. */
record RandomGossip(int instances, int fanout) implements DeliveryScheme {

  /** Chooses a fan-out that leaves an instance out about once in several hundred updates. */
  static RandomGossip sized(int instances) {
    return new RandomGossip(instances, (int) Math.ceil(Math.log(instances)) + 2);
  }

  @Override
  public String name() {
    return "gossip-" + fanout;
  }

  @Override
  public int links() {
    return instances - 1;
  }

  @Override
  public Broadcast broadcast(int source, int round, Health health) {
    RandomGenerator random = new SplittableRandom(31L * round + source);
    Broadcast broadcast = new Broadcast(instances, source);
    Queue<Integer> telling = new ArrayDeque<>();
    telling.add(source);
    while (!telling.isEmpty()) {
      int from = telling.remove();
      random
          .ints(0, instances)
          .filter(to -> to != from && !(health.noticed() && health.isDead(to)))
          .distinct()
          .limit(Math.min(fanout, instances - 2))
          .filter(to -> broadcast.copy(from, to))
          .filter(to -> !health.isDead(to))
          .forEach(telling::add);
    }
    return broadcast;
  }
}
