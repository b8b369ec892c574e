package org.hickorypier.core.cell;

/**
 * Decides whether an owner sends its start orders to the workers itself or has other instances
 * relay them.
 *
 * <p>The load in question is steps with many tasks: each start order carries the whole text of its
 * submission, so a step of 13 tasks sends the text 13 times. On a slow link these orders alone
 * delay all else that the owner sends, such as lease renewals, and callers and workers then take
 * the owner for lost. A relay that has the text needs only the name of the task, a tenth of the
 * bytes. On a fast link the owner sends the orders itself, since each relay needs connections of
 * its own to the workers.
 *
 * <p>The decision depends on the bytes that the orders take if the owner sends them all, whether or
 * not it does, so relaying does not undo its own cause. Confined to the control thread.
 */
public final class OrderRelayPolicy {

  /** Share of the link from which on orders are relayed. */
  private static final double RELAY_SHARE = 0.125;

  /** Share of the link below which the owner sends the orders itself again. */
  private static final double DIRECT_SHARE = 0.0625;

  /** Time constant of the average, in milliseconds: a burst of orders lasts about a second. */
  private static final double AVERAGING_MILLIS = 1_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double linkBytesPerSecond;
  private double recentBytes;
  private long updatedAt;
  private boolean relaying;

  /**
   * Creates the policy of an owner that has sent no orders yet.
   *
   * @param linkBytesPerSecond the bandwidth of the owner's link in each direction, in bytes per
   *     second; more than 0
   */
  public OrderRelayPolicy(double linkBytesPerSecond) {
    this.linkBytesPerSecond = linkBytesPerSecond;
  }

  /**
   * Records an order and decides how it is sent.
   *
   * @param orderBytes the size of the order if the owner sends it, in bytes
   * @param now the time, on the owner's monotonic clock, in milliseconds
   * @return whether the order should be relayed
   */
  public boolean shouldRelay(int orderBytes, long now) {
    recentBytes = recentBytes * Math.exp((updatedAt - now) / AVERAGING_MILLIS) + orderBytes;
    updatedAt = now;
    double share = demandBytesPerSecond() / linkBytesPerSecond;
    relaying = share > (relaying ? DIRECT_SHARE : RELAY_SHARE);
    return relaying;
  }

  /**
   * Returns what the recent orders take if the owner sends them all.
   *
   * @return bytes per second, as of the last order
   */
  public long demandBytesPerSecond() {
    return Math.round(recentBytes * MILLIS_PER_SECOND / AVERAGING_MILLIS);
  }
}
