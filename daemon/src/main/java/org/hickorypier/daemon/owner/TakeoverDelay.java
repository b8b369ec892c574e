package org.hickorypier.daemon.owner;

import java.time.Duration;

/**
 * The time that an instance waits before it takes over from a lost owner. Stateless.
 *
 * <p>All instances notice the loss within a few milliseconds. Those that take over at once would
 * replace each other, and a weak or slowed machine that came first would fall behind as the owner.
 * Each instance therefore waits for a time of its own, and a weak or slowed one until the others
 * have had their chance.
 */
final class TakeoverDelay {

  /**
   * The range of the delays. Instances take over one after another, so that one takeover completes
   * before the next instance tries.
   */
  private static final int SPREAD_MILLIS = 250;

  /** The additional delay of a weak or slowed machine, three times the spread of the others. */
  static final int WEAK_OR_SLOWED_EXTRA_MILLIS = 750;

  /** The range of the delays of standbys, which need no time to read the journal. */
  private static final int STANDBY_SPREAD_MILLIS = 40;

  private TakeoverDelay() {}

  /**
   * Returns the delay of an instance that follows the journal.
   *
   * @param address the instance's address
   */
  static Duration ofStandby(String address) {
    return Duration.ofMillis(1 + Math.floorMod(address.hashCode(), STANDBY_SPREAD_MILLIS));
  }

  /**
   * Returns the delay of an instance.
   *
   * @param address the instance's address, from which its place within the spread is derived
   * @param weak whether its machine is much weaker than the lost owner's
   * @param slowed whether its machine is much slower than usual
   */
  static Duration of(String address, boolean weak, boolean slowed) {
    int spread = 1 + Math.floorMod(address.hashCode(), SPREAD_MILLIS);
    return Duration.ofMillis(spread + (weak || slowed ? WEAK_OR_SLOWED_EXTRA_MILLIS : 0));
  }
}
