package org.hickorypier.core.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.preemption.Room;

/**
 * Tracks the resources that each customer uses, and checks them against its limit.
 *
 * <p>Runs that are being stopped and start orders with an unknown outcome count as used. Confined
 * to the control thread.
 */
final class CustomerUsage {

  private final Map<String, long[]> used = new HashMap<>();
  private final Map<String, CustomerLimits> limits = new HashMap<>();
  private Resources unresolvedCapacity = Resources.NONE;

  /** False before the first configuration, while no customer's limit is known. */
  private boolean configured;

  void configure(Iterable<CustomerLimits> customers) {
    configured = true;
    limits.clear();
    for (CustomerLimits customer : customers) {
      limits.put(customer.name(), customer);
    }
  }

  CustomerLimits limits(String customer) {
    return limits.get(customer);
  }

  /** Returns the upper limits of all customers. */
  Map<String, Resources> upperLimits() {
    Map<String, Resources> upper = new HashMap<>();
    limits.forEach((name, customer) -> upper.put(name, customer.limit()));
    return upper;
  }

  /**
   * Sets the capacity of workers that may hold unknown runs. Any customer may own these runs, so
   * the whole capacity counts against each customer's limit.
   */
  void setUnresolvedCapacity(Resources capacity) {
    unresolvedCapacity = capacity;
  }

  void add(String customer, Resources size, int sign) {
    long[] sums = used.computeIfAbsent(customer, name -> new long[3]);
    sums[0] += sign * size.milliProcessors();
    sums[1] += sign * size.memoryMebibytes();
    sums[2] += (long) sign * size.accelerators();
  }

  /** Returns all configured customers. */
  Collection<CustomerLimits> customers() {
    return limits.values();
  }

  /** Returns what the runs of a customer use, with those that are being stopped. */
  Resources usedBy(String customer) {
    long[] sums = used.get(customer);
    return sums == null ? Resources.NONE : new Resources(sums[0], sums[1], (int) sums[2]);
  }

  boolean isConfigured() {
    return configured;
  }

  /**
   * Tells whether so many more tasks of a size stay within the customer's limit; false before the
   * first configuration.
   */
  boolean allows(String customer, Resources size, int count) {
    if (!configured) {
      return false;
    }
    CustomerLimits customerLimits = limits.get(customer);
    if (customerLimits == null) {
      return true;
    }
    long[] sums = used.computeIfAbsent(customer, name -> new long[3]);
    Resources limit = customerLimits.limit();
    return within(
            sums[0] + unresolvedCapacity.milliProcessors(),
            size.milliProcessors(),
            count,
            limit.milliProcessors())
        && within(
            sums[1] + unresolvedCapacity.memoryMebibytes(),
            size.memoryMebibytes(),
            count,
            limit.memoryMebibytes())
        && within(
            sums[2] + unresolvedCapacity.accelerators(),
            size.accelerators(),
            count,
            limit.accelerators());
  }

  /** Tells whether so many tasks of a size fit the customer's limit if it uses nothing else. */
  boolean everAllows(String customer, Resources size, int count) {
    CustomerLimits customerLimits = limits.get(customer);
    if (customerLimits == null) {
      return true;
    }
    Resources limit = customerLimits.limit();
    return within(0, size.milliProcessors(), count, limit.milliProcessors())
        && within(0, size.memoryMebibytes(), count, limit.memoryMebibytes())
        && within(0, size.accelerators(), count, limit.accelerators());
  }

  /** Returns what the customer's limit leaves. */
  Room room(String customer) {
    CustomerLimits customerLimits = limits.get(customer);
    if (customerLimits == null) {
      return Room.UNLIMITED;
    }
    long[] sums = used.computeIfAbsent(customer, name -> new long[3]);
    Resources limit = customerLimits.limit();
    return new Room(
        left(limit.milliProcessors(), sums[0] + unresolvedCapacity.milliProcessors()),
        left(limit.memoryMebibytes(), sums[1] + unresolvedCapacity.memoryMebibytes()),
        left(limit.accelerators(), sums[2] + unresolvedCapacity.accelerators()));
  }

  private static long left(long limit, long taken) {
    return limit == 0 ? Room.UNLIMITED.milliProcessors() : limit - taken;
  }

  private static boolean within(long sum, long each, int count, long limit) {
    return limit == 0 || each == 0 || sum + each * count <= limit;
  }
}
