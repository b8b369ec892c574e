package org.hickorypier.core.permits;

import java.util.HashMap;
import java.util.Map;

/**
 * The limit of one team and the permits that each holder has.
 *
 * <p>Immutable. The sum of the holds exceeds the limit only after the limit was lowered, and until
 * it is back within the limit it only decreases.
 *
 * @param revision the team's revision in the configuration
 * @param limit the team's upper limit
 * @param holds the permits by holder; a holder that returned all of them stays with a count of 0,
 *     since the offset of its last increase determines its priority when permits are scarce
 * @param sum the sum of the holds
 */
public record TeamPermits(long revision, int limit, Map<Holder, HeldPermits> holds, int sum) {

  static final TeamPermits NONE = new TeamPermits(0, 0, Map.of(), 0);

  /** Copies the map, so that the record stays immutable. */
  public TeamPermits {
    holds = Map.copyOf(holds);
  }

  /**
   * Returns the number of permits of a holder.
   *
   * @param holder the holder
   * @return the number, 0 for an unknown holder
   */
  public int heldBy(Holder holder) {
    HeldPermits held = holds.get(holder);
    return held == null ? 0 : held.count();
  }

  /**
   * Returns the number of permits that no holder has.
   *
   * @return the number, never negative
   */
  public int free() {
    return Math.max(0, limit - sum);
  }

  /**
   * Returns whether the holds exceed the limit, which happens after the limit was lowered.
   *
   * @return whether the sum of the holds exceeds the limit
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
