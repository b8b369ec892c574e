package org.hickorypier.standins.fault;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * A clock and delays that move only when a test says so.
 *
 * <p>Thread safe. Tasks run in the order of their times on the thread that advances.
 */
public final class ManualTime implements LongSupplier, Delays {

  private record Delayed(long atMillis, Runnable task) {}

  private final List<Delayed> delayed = new ArrayList<>();
  private long nowMillis;

  @Override
  public synchronized long getAsLong() {
    return nowMillis;
  }

  @Override
  public synchronized void after(long millis, Runnable task) {
    delayed.add(new Delayed(nowMillis + Math.max(1, millis), task));
  }

  /**
   * Lets time pass and runs what falls due.
   *
   * @param millis how much time
   */
  public void advance(long millis) {
    long end = getAsLong() + millis;
    Optional<Delayed> next = takeDue(end);
    while (next.isPresent()) {
      next.get().task().run();
      next = takeDue(end);
    }
  }

  private synchronized Optional<Delayed> takeDue(long end) {
    Optional<Delayed> due =
        delayed.stream()
            .filter(entry -> entry.atMillis() <= end)
            .min(Comparator.comparingLong(Delayed::atMillis));
    nowMillis = due.map(entry -> Math.max(nowMillis, entry.atMillis())).orElse(end);
    due.ifPresent(delayed::remove);
    return due;
  }
}
