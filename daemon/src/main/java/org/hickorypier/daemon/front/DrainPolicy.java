package org.hickorypier.daemon.front;

/**
 * Tells which connections an instance may close while it ends. Stateless.
 *
 * <p>Load: callers keep connections, many of them unused, through a planned restart. Harm
 * prevented: an unused connection held the process for its whole grace, with its machine missing to
 * all callers, and a request sent on it late had no time left to be served.
 */
final class DrainPolicy {

  /**
   * The balancer asks each second and notices at the second miss that the instance is leaving;
   * until then it sends new connections, which should be served.
   */
  static final long BALANCER_NOTICE_MILLIS = 2_200;

  /** A caller that opens a connection sends its request on it within a few milliseconds. */
  static final long MIN_IDLE_MILLIS = 300;

  private DrainPolicy() {}

  /**
   * Tells whether a connection without a request may be closed.
   *
   * @param sinceStopMillis the time since the instance was told to end
   * @param unusedMillis the time since the connection was opened or its last request answered
   */
  static boolean mayClose(long sinceStopMillis, long unusedMillis) {
    return sinceStopMillis >= BALANCER_NOTICE_MILLIS && unusedMillis >= MIN_IDLE_MILLIS;
  }
}
