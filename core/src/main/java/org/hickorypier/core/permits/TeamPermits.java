package org.hickorypier.core.permits;

import java.util.HashMap;
import java.util.Map;

/**
 * The limit of one team and who holds how much of it.
 *
 * <p>Immutable. The sum of the holds exceeds the limit only after the limit was lowered, and then
 * it only falls.
 *
 * @param revision the team's revision in the configuration
 * @param limit its upper limit
 * @param holds the holds; one that was given back whole stays at 0, for the order of turns
 * @param sum the sum of the holds
 */
public record TeamPermits(long revision, int limit, Map<Holder, HeldPermits> holds, int sum) {

  static final TeamPermits NONE = new TeamPermits(0, 0, Map.of(), 0);

  /** Copies the map. */
  public TeamPermits {
    holds = Map.copyOf(holds);
  }

  /**
   * Returns how many permits a holder holds.
   *
   * @param holder the holder
   * @return the number
   */
  public int heldBy(Holder holder) {
    HeldPermits held = holds.get(holder);
    return held == null ? 0 : held.count();
  }

  /**
   * Returns how many permits nobody holds.
   *
   * @return the number, never negative
   */
  public int free() {
    return Math.max(0, limit - sum);
  }

  /**
   * Tells whether more is held than the limit allows, after it was lowered.
   *
   * @return true if so
   */
  public boolean isOverLimit() {
    return sum > limit;
  }

  TeamPermits withLimit(long newRevision, int newLimit) {
    return new TeamPermits(newRevision, newLimit, holds, sum);
  }

  TeamPermits withoutHolder(Holder holder) {
    Map<Holder, HeldPermits> next = new HashMap<>(holds);
    next.remove(holder);
    return new TeamPermits(revision, limit, next, sum - heldBy(holder));
  }

  TeamPermits withHold(Holder holder, int count, long offset) {
    int countBefore = heldBy(holder);
    Map<Holder, HeldPermits> next = new HashMap<>(holds);
    if (count > countBefore) {
      next.put(holder, new HeldPermits(count, offset));
    } else if (next.containsKey(holder)) {
      next.put(holder, new HeldPermits(count, next.get(holder).raisedAt()));
    }
    return new TeamPermits(revision, limit, next, sum + count - countBefore);
  }
}
