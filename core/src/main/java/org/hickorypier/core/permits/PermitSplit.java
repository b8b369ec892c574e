package org.hickorypier.core.permits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Splits a scarce limit between instances by their demand.
 *
 * <p>A pure function, so thread safe.
 *
 * <p>Load: a team at its limit with work waiting at several instances, because the balancer spreads
 * its callers unevenly. Harm prevented: an instance that holds all permits refills each one that
 * comes free from its own queue, and callers who entered elsewhere wait for ever. By demand, every
 * waiting task has the same chance wherever it entered. Urgent work comes first. One permit for
 * each instance with demand comes before proportion, since a proportion below one rounds to
 * nothing; with fewer permits than instances, those go first that have gone longest without a rise.
 */
final class PermitSplit {

  private final Map<Holder, Integer> shares = new HashMap<>();
  private final Map<Holder, PermitDemand> demands;
  private final TeamPermits team;

  private PermitSplit(Map<Holder, PermitDemand> demands, TeamPermits team) {
    this.demands = demands;
    this.team = team;
  }

  /**
   * Splits.
   *
   * @param permits the number to split
   * @param demands the demand of each instance
   * @param team the holds, for who has gone longest without a rise
   * @return the share of each instance, its demand at the most
   */
  static Map<Holder, Integer> split(
      int permits, Map<Holder, PermitDemand> demands, TeamPermits team) {
    PermitSplit split = new PermitSplit(demands, team);
    int left = split.allocate(Math.max(0, permits), PermitDemand::urgent);
    split.allocate(left, demand -> demand.total() - demand.urgent());
    return split.shares;
  }

  private int allocate(int permits, ToIntFunction<PermitDemand> need) {
    List<Holder> needy = new ArrayList<>();
    long sum = 0;
    for (Map.Entry<Holder, PermitDemand> entry : demands.entrySet()) {
      int wanted = need.applyAsInt(entry.getValue());
      if (wanted > 0) {
        needy.add(entry.getKey());
        sum += wanted;
      }
    }
    if (sum <= permits) {
      needy.forEach(holder -> addShare(holder, need.applyAsInt(demands.get(holder))));
      return permits - (int) sum;
    }
    needy.sort(Comparator.comparingLong(this::raisedAt).thenComparing(holder -> holder));
    if (permits < needy.size()) {
      needy.subList(0, permits).forEach(holder -> addShare(holder, 1));
      return 0;
    }
    needy.forEach(holder -> addShare(holder, 1));
    allocateProportionally(permits - needy.size(), needy, sum - needy.size(), need);
    return 0;
  }

  // Largest remainder: everybody gets the whole part of a proportional share, and what rounding
  // leaves over goes to those who lost most by it.
  private void allocateProportionally(
      int permits, List<Holder> needy, long sum, ToIntFunction<PermitDemand> need) {
    Map<Holder, Long> remainders = new HashMap<>();
    int left = permits;
    for (Holder holder : needy) {
      long product = (long) permits * (need.applyAsInt(demands.get(holder)) - 1);
      int whole = (int) (product / sum);
      addShare(holder, whole);
      left -= whole;
      remainders.put(holder, product % sum);
    }
    List<Holder> byRemainder = new ArrayList<>(needy);
    byRemainder.sort(
        Comparator.comparingLong((Holder holder) -> -remainders.get(holder))
            .thenComparing(holder -> holder));
    byRemainder.subList(0, left).forEach(holder -> addShare(holder, 1));
  }

  private long raisedAt(Holder holder) {
    HeldPermits held = team.holds().get(holder);
    return held == null ? -1 : held.raisedAt();
  }

  private void addShare(Holder holder, int permits) {
    shares.merge(holder, permits, Integer::sum);
  }
}
