package org.hickorypier.standins.instance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.hickorypier.platform.instance.ListedInstance;

/**
 * The instance list, in memory, with a lag.
 *
 * <p>Invariant: a reader sees the whole list as it was one lag ago. Thread safe. Reads the clock
 * only through the supplier.
 */
public final class InMemoryInstanceList {

  private record Version(long atMillis, List<ListedInstance> instances) {}

  private final LongSupplier clock;
  private final long lagMillis;
  private final TreeMap<String, ListedInstance> present = new TreeMap<>();
  private final Deque<Version> versions = new ArrayDeque<>();

  /**
   * Creates an empty list.
   *
   * @param clock the time in milliseconds
   * @param lagMillis how long a change stays unseen
   */
  public InMemoryInstanceList(LongSupplier clock, long lagMillis) {
    this.clock = clock;
    this.lagMillis = lagMillis;
    versions.add(new Version(Long.MIN_VALUE, List.of()));
  }

  /**
   * Adds an instance or replaces the one of the same name.
   *
   * @param instance the instance
   */
  public synchronized void put(ListedInstance instance) {
    present.put(instance.name(), instance);
    addVersion();
  }

  /**
   * Removes an instance if it is there.
   *
   * @param name the instance's name
   */
  public synchronized void remove(String name) {
    present.remove(name);
    addVersion();
  }

  /**
   * Reads the list as it was one lag ago.
   *
   * @return the instances, by name
   */
  public synchronized List<ListedInstance> read() {
    dropUnseen();
    return versions.peekFirst().instances();
  }

  private void addVersion() {
    versions.add(new Version(clock.getAsLong(), List.copyOf(present.values())));
    dropUnseen();
  }

  /** Leaves as the first version the newest that is old enough to be seen. */
  private void dropUnseen() {
    long seen = clock.getAsLong() - lagMillis;
    while (versions.size() > 1) {
      Version first = versions.pollFirst();
      if (versions.peekFirst().atMillis() > seen) {
        versions.addFirst(first);
        return;
      }
    }
  }
}
