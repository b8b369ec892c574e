package org.hickorypier.daemon.front;

/**
 * Decides which connections an instance may close while it drains. Stateless.
 *
 * <p>Callers keep connections open through a planned restart, many of them idle. An idle connection
 * that stays open holds the process for its whole grace period, during which its machine is missing
 * to all callers, and a request that is sent on it late has no time left to be served.
 */
final class DrainPolicy {

  /**
   * Time after which the balancer has stopped sending connections. It checks readiness every second
   * and removes the instance at the second failed check; connections until then are still served.
   */
  static final long BALANCER_NOTICE_MILLIS = 2_200;

  /** A caller that opens a connection sends its request within a few milliseconds. */
  static final long MIN_IDLE_MILLIS = 300;

  private DrainPolicy() {}

  /**
   * Returns whether a connection without an open exchange may be closed.
   *
   * @param sinceDrainMillis the time since the drain began, in milliseconds
   * @param idleMillis the time since the connection was opened or its last exchange ended, in
   *     milliseconds
   */
  static boolean mayClose(long sinceDrainMillis, long idleMillis) {
    return sinceDrainMillis >= BALANCER_NOTICE_MILLIS && idleMillis >= MIN_IDLE_MILLIS;
  }
}
