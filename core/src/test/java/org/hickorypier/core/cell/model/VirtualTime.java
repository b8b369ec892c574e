package org.hickorypier.core.cell.model;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/** Fake time with a seeded source of chance: events run one after another, in order of time. */
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

  void schedule(long millis, Runnable action) {
    events.add(new Event(nowMillis + Math.max(0, millis), nextOrder++, action));
  }

  boolean randomlyTrue(double share) {
    return random.nextDouble() < share;
  }

  long randomBetween(long least, long most) {
    return least + (long) (random.nextDouble() * (most - least + 1));
  }

  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at <= end) {
      Event next = events.remove();
      nowMillis = next.at;
      executedEvents++;
      next.action.run();
    }
    nowMillis = end;
  }

  private record Event(long at, long order, Runnable action) {}
}
