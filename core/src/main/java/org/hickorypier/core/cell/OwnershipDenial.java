package org.hickorypier.core.cell;

/**
 * Decides when an instance that has denied its ownership is asked again.
 *
 * <p>The load in question is an owner that has restarted: all instances are linked to it seconds
 * before it has read the journal. Requests that are sent meanwhile, and sent again after each
 * denial, take the link and the processor that it needs to take over, and none of them can be
 * served. They wait at their instances instead, where a caller whose time is over is told truly
 * that its submission was never sent, and only a short question is asked, less and less often.
 *
 * <p>Invariant: between {@link #record} and {@link #clear} no request is to be sent. Confined to
 * the control thread.
 */
public final class OwnershipDenial {

  /** Restarted owners on strong machines take over within about this time. */
  static final long FIRST_DELAY_MILLIS = 150;

  /** The new owner is also announced through the store, so a longer wait costs little. */
  static final long MAX_DELAY_MILLIS = 1_200;

  private boolean denied;
  private long since;
  private long delayMillis;

  /**
   * Records a denial.
   *
   * @param now the time of a monotonic clock, in milliseconds
   * @return whether this is the first one since ownership was last in no doubt; the instance is to
   *     be asked again after {@link #nextDelayMillis}
   */
  public boolean record(long now) {
    if (denied) {
      return false;
    }
    denied = true;
    since = now;
    delayMillis = FIRST_DELAY_MILLIS;
    return true;
  }

  /** Records that the instance has proved its ownership, or that another instance is the owner. */
  public void clear() {
    denied = false;
  }

  /**
   * Returns whether requests have to wait.
   *
   * @return true between a denial and a proof
   */
  public boolean isDenied() {
    return denied;
  }

  /**
   * Returns for how long ownership has been denied.
   *
   * @param now the time of the same clock, in milliseconds
   * @return the time in milliseconds; 0 if it is not denied
   */
  public long deniedMillis(long now) {
    return denied ? now - since : 0;
  }

  /**
   * Returns the time until the instance is asked next, and doubles it for the question after that.
   *
   * @return the delay in milliseconds
   */
  public long nextDelayMillis() {
    long delay = delayMillis;
    delayMillis = Math.min(MAX_DELAY_MILLIS, 2 * delayMillis);
    return delay;
  }
}
