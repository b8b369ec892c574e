package org.hickorypier.core.cell.model;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Virtual time of a discrete-event simulation, with a seeded random source.
 *
 * <p>Events run one after the other, ordered by time and then by the order of scheduling.
 */
final class VirtualTime {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  final Random random;
  private long nowMillis = 1;
  private long nextOrder;
  long executedEvents;

  VirtualTime(long seed) {
    this.random = new Random(seed);
  }

  long nowMillis() {
    return nowMillis;
  }

  void schedule(long delayMillis, Runnable action) {
    events.add(new Event(nowMillis + Math.max(0, delayMillis), nextOrder++, action));
  }

  boolean randomlyTrue(double probability) {
    return random.nextDouble() < probability;
  }

  long randomBetween(long min, long max) {
    return min + (long) (random.nextDouble() * (max - min + 1));
  }

  void runUntil(long endMillis) {
    while (!events.isEmpty() && events.peek().at <= endMillis) {
      Event next = events.remove();
      nowMillis = next.at;
      executedEvents++;
      next.action.run();
    }
    nowMillis = endMillis;
  }

  private record Event(long at, long order, Runnable action) {}
}
