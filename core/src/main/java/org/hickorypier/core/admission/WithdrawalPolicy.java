package org.hickorypier.core.admission;

/**
 * Decides when a submission that no append has carried is withdrawn, so that its caller is told
 * "not accepted" instead of an unknown outcome.
 *
 * <p>Stateless.
 */
public final class WithdrawalPolicy {

  /**
   * A takeover completes within this time if any instance reaches the store. Until then a successor
   * may accept the submission, which serves the caller better than a refusal.
   */
  public static final long TAKEOVER_MILLIS = 2_200;

  /**
   * Time kept for the refusal to reach the instance that waits for it: two periods of the owner's
   * tick, and a link with a queue.
   */
  static final long REPLY_MARGIN_MILLIS = 250;

  /**
   * The store takes some 10 ms for a submission. One that has waited for longer than this without
   * an append waits for a store that is slow, silent or away.
   */
  static final long MIN_WAIT_MILLIS = 100;

  private WithdrawalPolicy() {}

  /**
   * Returns whether a submission that no append has carried is to be withdrawn.
   *
   * @param storeUnavailableMillis how long the store has been unavailable, in milliseconds; 0 if it
   *     is available
   * @param waitedMillis how long the submission has waited, in milliseconds
   * @param remainingMillis how long its callers still wait, in milliseconds; {@link Long#MAX_VALUE}
   *     if unknown
   * @return true if it is to be withdrawn now
   */
  public static boolean isDue(
      long storeUnavailableMillis, long waitedMillis, long remainingMillis) {
    return storeUnavailableMillis > TAKEOVER_MILLIS
        || waitedMillis >= MIN_WAIT_MILLIS && remainingMillis <= REPLY_MARGIN_MILLIS;
  }
}
