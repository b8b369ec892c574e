package org.hickorypier.core.fairness;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tells which customers use more than their weighted share of the cell.
 *
 * <p>Load: one customer hands in many times its usual work while others compete for the same room.
 * Its work then waits behind the work of those that are below their share, as long as these wait;
 * what they do not ask for, it may use. A share is that of the dominant resource, taken over a
 * window, and the fair one is the customer's weight among the customers that were active in the
 * window.
 *
 * <p>Invariants: a customer that is alone is never over its share; the sums equal those of the
 * samples in the window. Not thread-safe.
 */
public final class FairShares {

  /** Long enough for some runs of each customer, and the longest that excess work is held back. */
  public static final long WINDOW_MILLIS = 5_000;

  /** Customers ask in bursts; twice the share over the window is more than these explain. */
  private static final double EXCESS_FACTOR = 2;

  private final Deque<Sample> samples = new ArrayDeque<>();
  private final Map<String, Double> usedSums = new HashMap<>();
  private final Map<String, Integer> activeCounts = new HashMap<>();
  private final Map<String, Double> weights = new HashMap<>();
  private Set<String> overShare = Set.of();

  /** The use of one moment. */
  private record Sample(long at, Map<String, CustomerUse> uses) {}

  /**
   * Adds the present use and recomputes which customers are over their share.
   *
   * @param uses the customers that use something or wait for room, by name
   * @param now the time of a monotonic clock, in milliseconds
   */
  public void sample(Map<String, CustomerUse> uses, long now) {
    while (!samples.isEmpty() && now - samples.peekFirst().at() >= WINDOW_MILLIS) {
      samples.removeFirst().uses().forEach((name, use) -> count(name, use, -1));
    }
    samples.addLast(new Sample(now, Map.copyOf(uses)));
    uses.forEach((name, use) -> count(name, use, 1));
    overShare = findOverShare(uses);
  }

  private void count(String customer, CustomerUse use, int sign) {
    int active = activeCounts.merge(customer, sign, Integer::sum);
    if (active == 0) {
      activeCounts.remove(customer);
      usedSums.remove(customer);
      weights.remove(customer);
    } else {
      usedSums.merge(customer, sign * use.dominantShare(), Double::sum);
      if (sign > 0) {
        weights.put(customer, use.weight());
      }
    }
  }

  private Set<String> findOverShare(Map<String, CustomerUse> present) {
    double totalWeight = 0;
    double totalUsed = 0;
    for (Map.Entry<String, Double> used : usedSums.entrySet()) {
      totalWeight += weights.get(used.getKey());
      totalUsed += used.getValue();
    }
    Set<String> over = new HashSet<>();
    boolean othersWait = false;
    for (Map.Entry<String, Double> used : usedSums.entrySet()) {
      double fair = totalUsed * weights.get(used.getKey()) / totalWeight;
      if (used.getValue() > EXCESS_FACTOR * fair) {
        over.add(used.getKey());
      } else if (used.getValue() < fair && isWaiting(used.getKey(), present)) {
        othersWait = true;
      }
    }
    return othersWait ? Set.copyOf(over) : Set.of();
  }

  private static boolean isWaiting(String customer, Map<String, CustomerUse> present) {
    CustomerUse use = present.get(customer);
    return use != null && use.waiting();
  }

  /**
   * Returns whether a customer has used more than twice its share while another that is below its
   * share waits.
   *
   * @param customer the customer's name
   * @return false also for a customer that is not known
   */
  public boolean isOverShare(String customer) {
    return overShare.contains(customer);
  }

  /**
   * Returns the customers that are over their share, for logs.
   *
   * @return their names
   */
  public Collection<String> customersOverShare() {
    return overShare;
  }
}
