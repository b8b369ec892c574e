package org.hickorypier.core.permits;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Decides how many permits of a team an instance asks for, and how many it uses.
 *
 * <p>A pure function, so thread safe. Invariants: nothing starts while the holds exceed the limit;
 * one request is under way at a time.
 *
 * <p>Load: thousands of starts a second at a peak, over a log that takes several hundred appends a
 * second for everything, and 2 KB a second of control for each daemon. Harms prevented: a record
 * for each start (so holds rise in steps and fall late), permits that lie idle at one instance
 * while work waits at another (so idle ones are given up at once when somebody lacks them), and
 * holds that swing to and fro (so a fall needs more than the reserve, for a time).
 */
public final class PermitPlanner {

  /**
   * The part of the demand that is kept in reserve, one in so many. A quarter lets demand grow by a
   * quarter before the next record; more would keep permits from others, less would bring a record
   * for each wave of requests.
   */
  private static final int RESERVE_DIVISOR = 4;

  /**
   * For how long permits must lie idle before they are given up though nobody lacks them. Bursts of
   * callers come some seconds apart; a shorter time would give permits up between two of them.
   */
  private static final long IDLE_RELEASE_MILLIS = 5_000;

  /**
   * While the limit is scarce a hold falls only by at least one in so many of it. A hold of 8 or
   * more follows each small change of others' digests otherwise, at a record each.
   */
  private static final int MIN_DECREASE_DIVISOR = 8;

  private static final int NO_CAP = Integer.MAX_VALUE;

  private PermitPlanner() {}

  /**
   * Plans.
   *
   * @param view what the instance knows
   * @return what it does
   */
  public static PermitPlan plan(PermitView view) {
    TeamPermits team = view.team();
    int held = team.heldBy(view.self());
    if (team.isOverLimit()) {
      // After the limit was lowered nothing starts until enough has ended, and every idle permit
      // goes back, at all instances alike. Running tasks are left to end by themselves.
      return plan(view, 0, Math.min(held, view.own().running()), false);
    }
    Map<Holder, PermitDemand> demands = new HashMap<>(view.others());
    demands.put(view.self(), view.own());
    int splittable = team.limit() - heldByAbsentHolders(team, demands);
    long wanted = demands.values().stream().mapToLong(PermitDemand::total).sum();
    if (wanted > splittable) {
      int share = PermitSplit.split(splittable, demands, team).getOrDefault(view.self(), 0);
      return planScarce(view, share);
    }
    int reserve = (view.own().total() + RESERVE_DIVISOR - 1) / RESERVE_DIVISOR;
    boolean idle = held > view.own().total() + 2 * reserve;
    return plan(view, NO_CAP, targetBelowLimit(view, held, reserve, idle), idle);
  }

  private static PermitPlan plan(PermitView view, int cap, int target, boolean idle) {
    int held = view.team().heldBy(view.self());
    // Asking for more than is free would bring a record and no permit.
    int reachable = Math.min(target, held + view.team().free());
    boolean ask = view.pendingRequest().isEmpty() && reachable != held;
    return new PermitPlan(cap, ask ? OptionalInt.of(reachable) : OptionalInt.empty(), idle);
  }

  // An instance that is gone keeps its permits until its tasks have been adopted: they may run.
  private static int heldByAbsentHolders(TeamPermits team, Map<Holder, PermitDemand> demands) {
    int held = 0;
    for (Map.Entry<Holder, HeldPermits> entry : team.holds().entrySet()) {
      held += demands.containsKey(entry.getKey()) ? 0 : entry.getValue().count();
    }
    return held;
  }

  private static PermitPlan planScarce(PermitView view, int share) {
    int held = view.team().heldBy(view.self());
    int fall = held - share;
    if (fall > 0 && fall < held / MIN_DECREASE_DIVISOR && !isAnyInstanceStarved(view)) {
      return plan(view, NO_CAP, held, false);
    }
    // What runs is not killed for the sake of the split. It ends, is not replaced, and its permits
    // go back.
    int target = Math.max(share, Math.min(held, view.own().running()));
    return plan(view, share, target, false);
  }

  private static boolean isAnyInstanceStarved(PermitView view) {
    return view.others().entrySet().stream()
        .anyMatch(
            entry -> entry.getValue().waiting() > 0 && view.team().heldBy(entry.getKey()) == 0);
  }

  private static int targetBelowLimit(PermitView view, int held, int reserve, boolean idle) {
    int demand = view.own().total();
    if (demand > held) {
      return demand + reserve;
    }
    if (othersLackPermits(view)) {
      return demand;
    }
    return idle && view.idleMillis() >= IDLE_RELEASE_MILLIS ? demand + reserve : held;
  }

  private static boolean othersLackPermits(PermitView view) {
    long lacking = 0;
    for (Map.Entry<Holder, PermitDemand> entry : view.others().entrySet()) {
      lacking += Math.max(0, entry.getValue().total() - view.team().heldBy(entry.getKey()));
    }
    return lacking > view.team().free();
  }
}
