package org.hickorypier.core.permits;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Decides how many permits of a team an instance requests and how many it uses.
 *
 * <p>Stateless and thread-safe. Invariants: nothing starts while the holds exceed the limit; at
 * most one request is pending at a time.
 *
 * <p>At a peak there are thousands of starts a second, while the log accepts several hundred
 * appends a second for all purposes and each daemon may use 2 KB a second for control. Holds
 * therefore grow in steps and shrink late, instead of costing a record for each start. Idle permits
 * are released at once when another instance lacks permits, so that work does not wait at one
 * instance while permits are idle at another. Otherwise a hold shrinks only when more than the
 * reserve has been idle for some time, so that holds do not oscillate.
 */
public final class PermitPlanner {

  /**
   * The reserve is the demand divided by this number. A quarter lets demand grow by a quarter
   * before the next record; a larger reserve would withhold permits from other instances, a smaller
   * one would cost a record for each burst of requests.
   */
  private static final int RESERVE_DIVISOR = 4;

  /**
   * The time for which permits must be idle before they are released although no instance lacks
   * them. Bursts of requests arrive some seconds apart; a shorter time would release permits
   * between two bursts.
   */
  private static final long IDLE_RELEASE_MILLIS = 5_000;

  /**
   * While permits are scarce, a hold decreases only by at least the hold divided by this number.
   * Otherwise a hold of 8 or more would follow each small change in the digests of other instances,
   * at the cost of a record each.
   */
  private static final int MIN_DECREASE_DIVISOR = 8;

  private static final int NO_CAP = Integer.MAX_VALUE;

  private PermitPlanner() {}

  /**
   * Plans the permits of one team.
   *
   * @param view the state and the demand to plan from
   * @return the permits to use and to request
   */
  public static PermitPlan plan(PermitView view) {
    TeamPermits team = view.team();
    int held = team.heldBy(view.self());
    if (team.isOverLimit()) {
      // After the limit was lowered, nothing starts until enough tasks have ended, and every
      // instance returns all its idle permits. Running tasks are not killed.
      return plan(view, 0, Math.min(held, view.own().running()), false);
    }
    Map<Holder, PermitDemand> demands = new HashMap<>(view.others());
    demands.put(view.self(), view.own());
    int available = team.limit() - heldByAbsentHolders(team, demands);
    long wanted = demands.values().stream().mapToLong(PermitDemand::total).sum();
    if (wanted > available) {
      int share = PermitSplit.split(available, demands, team).getOrDefault(view.self(), 0);
      return planScarce(view, share);
    }
    int reserve = (view.own().total() + RESERVE_DIVISOR - 1) / RESERVE_DIVISOR;
    boolean hasIdleExcess = held > view.own().total() + 2 * reserve;
    return plan(view, NO_CAP, targetBelowLimit(view, held, reserve, hasIdleExcess), hasIdleExcess);
  }

  private static PermitPlan plan(PermitView view, int cap, int target, boolean hasIdleExcess) {
    int held = view.team().heldBy(view.self());
    // A request for more than the free permits would cost a record without a grant.
    int reachable = Math.min(target, held + view.team().free());
    boolean needsRequest = view.pendingRequest().isEmpty() && reachable != held;
    return new PermitPlan(
        cap, needsRequest ? OptionalInt.of(reachable) : OptionalInt.empty(), hasIdleExcess);
  }

  // A failed instance keeps its permits until its tasks are adopted, since they may still run.
  private static int heldByAbsentHolders(TeamPermits team, Map<Holder, PermitDemand> demands) {
    int held = 0;
    for (Map.Entry<Holder, HeldPermits> entry : team.holds().entrySet()) {
      held += demands.containsKey(entry.getKey()) ? 0 : entry.getValue().count();
    }
    return held;
  }

  private static PermitPlan planScarce(PermitView view, int share) {
    int held = view.team().heldBy(view.self());
    int decrease = held - share;
    if (decrease > 0 && decrease < held / MIN_DECREASE_DIVISOR && !isAnyInstanceStarved(view)) {
      return plan(view, NO_CAP, held, false);
    }
    // Running tasks above the share are not killed. When they end, they are not replaced, and their
    // permits are returned.
    int target = Math.max(share, Math.min(held, view.own().running()));
    return plan(view, share, target, false);
  }

  private static boolean isAnyInstanceStarved(PermitView view) {
    return view.others().entrySet().stream()
        .anyMatch(
            entry -> entry.getValue().waiting() > 0 && view.team().heldBy(entry.getKey()) == 0);
  }

  private static int targetBelowLimit(
      PermitView view, int held, int reserve, boolean hasIdleExcess) {
    int demand = view.own().total();
    if (demand > held) {
      return demand + reserve;
    }
    if (othersLackPermits(view)) {
      return demand;
    }
    return hasIdleExcess && view.idleMillis() >= IDLE_RELEASE_MILLIS ? demand + reserve : held;
  }

  private static boolean othersLackPermits(PermitView view) {
    long lacking = 0;
    for (Map.Entry<Holder, PermitDemand> entry : view.others().entrySet()) {
      lacking += Math.max(0, entry.getValue().total() - view.team().heldBy(entry.getKey()));
    }
    return lacking > view.team().free();
  }
}
