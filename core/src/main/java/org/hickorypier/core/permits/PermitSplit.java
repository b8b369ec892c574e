package org.hickorypier.core.permits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Divides the permits of a team among instances by their demand when permits are scarce.
 *
 * <p>Confined to one call of {@link #split}, which is a pure function and thread-safe.
 *
 * <p>When a team is at its limit, work waits at several instances because the load balancer spreads
 * the team's requests unevenly. Without a split, an instance that holds all permits would reuse
 * each freed permit for its own queue, and requests that arrived at other instances would starve. A
 * split by demand gives every waiting task the same chance wherever it arrived. Urgent work is
 * served first. Each instance with demand gets one permit before the rest is divided in proportion,
 * since a proportional share below one rounds to zero. With fewer permits than instances, those
 * whose hold has not increased for the longest time are served first.
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
   * Divides permits by demand.
   *
   * @param permits the number of permits to divide
   * @param demands the demand of each instance
   * @param team the holds, which show when the hold of each instance last increased
   * @return the share of each instance that gets permits, which never exceeds its demand
   */
  static Map<Holder, Integer> split(
      int permits, Map<Holder, PermitDemand> demands, TeamPermits team) {
    PermitSplit split = new PermitSplit(demands, team);
    int remaining = split.allocate(Math.max(0, permits), PermitDemand::urgent);
    split.allocate(remaining, demand -> demand.total() - demand.urgent());
    return split.shares;
  }

  private int allocate(int permits, ToIntFunction<PermitDemand> demandOf) {
    List<Holder> claimants = new ArrayList<>();
    long sum = 0;
    for (Map.Entry<Holder, PermitDemand> entry : demands.entrySet()) {
      int wanted = demandOf.applyAsInt(entry.getValue());
      if (wanted > 0) {
        claimants.add(entry.getKey());
        sum += wanted;
      }
    }
    if (sum <= permits) {
      claimants.forEach(holder -> addShare(holder, demandOf.applyAsInt(demands.get(holder))));
      return permits - (int) sum;
    }
    claimants.sort(Comparator.comparingLong(this::raisedAt).thenComparing(holder -> holder));
    if (permits < claimants.size()) {
      claimants.subList(0, permits).forEach(holder -> addShare(holder, 1));
      return 0;
    }
    claimants.forEach(holder -> addShare(holder, 1));
    allocateProportionally(permits - claimants.size(), claimants, sum - claimants.size(), demandOf);
    return 0;
  }

  // The largest remainder method: each instance gets the integral part of its proportional share,
  // and the permits left over by rounding go to the instances with the largest remainders.
  private void allocateProportionally(
      int permits, List<Holder> claimants, long sum, ToIntFunction<PermitDemand> demandOf) {
    Map<Holder, Long> remainders = new HashMap<>();
    int remaining = permits;
    for (Holder holder : claimants) {
      long product = (long) permits * (demandOf.applyAsInt(demands.get(holder)) - 1);
      int integralShare = (int) (product / sum);
      addShare(holder, integralShare);
      remaining -= integralShare;
      remainders.put(holder, product % sum);
    }
    List<Holder> byRemainder = new ArrayList<>(claimants);
    byRemainder.sort(
        Comparator.comparingLong((Holder holder) -> -remainders.get(holder))
            .thenComparing(holder -> holder));
    byRemainder.subList(0, remaining).forEach(holder -> addShare(holder, 1));
  }

  private long raisedAt(Holder holder) {
    HeldPermits held = team.holds().get(holder);
    return held == null ? -1 : held.raisedAt();
  }

  private void addShare(Holder holder, int permits) {
    shares.merge(holder, permits, Integer::sum);
  }
}
