package org.hickorypier.daemon.owner;

import java.time.Duration;

/**
 * How long an instance waits before it steps in for a lost owner. Stateless.
 *
 * <p>Load: all instances notice the loss within a few milliseconds. Harm prevented: those that take
 * over at once replace each other, and a weak or slowed machine that is first falls behind as the
 * owner. Each waits for a time of its own, and such a machine until the others have had their
 * chance.
 */
final class TakeoverDelay {

  /** Instances step in one after another, so that one takes over before the next tries. */
  private static final int SPREAD_MILLIS = 250;

  /** Three spreads of the others. */
  static final int WEAK_OR_SLOWED_EXTRA_MILLIS = 750;

  private TakeoverDelay() {}

  /**
   * Tells how long to wait.
   *
   * @param address the instance's address, by which instances differ
   * @param weak whether its machine is far weaker than the lost owner's
   * @param slowed whether its machine is much slower than usual
   */
  static Duration of(String address, boolean weak, boolean slowed) {
    int spread = 1 + Math.floorMod(address.hashCode(), SPREAD_MILLIS);
    return Duration.ofMillis(spread + (weak || slowed ? WEAK_OR_SLOWED_EXTRA_MILLIS : 0));
  }
}
