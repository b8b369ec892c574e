package org.hickorypier.core.cell;

/**
 * The time after which a worker's answer counts as missing, derived from the response times of all
 * workers.
 *
 * <p>The load in question is an owner whose link or processor is behind: the answers of all workers
 * are late. With a fixed timeout each order is then sent again, each worker counts as lost, and
 * connections are given up and opened again, all of which is more load. With a timeout that follows
 * the mean response time, an answer that is late for a common cause is waited for, while a single
 * worker that is silent hardly changes the mean and is detected as quickly as before. Confined to
 * the control thread.
 */
public final class WorkerTimeout {

  /** Workers answer orders within about 2 ms, so an answer this late is usually lost. */
  static final long MIN_TIMEOUT_MILLIS = 300;

  /** Leaves time for a second attempt within the validity of a start order and within a lease. */
  static final long MAX_TIMEOUT_MILLIS = 1_200;

  /** Response times of a queue vary by several times their mean. */
  private static final double MEAN_FACTOR = 6;

  /** Weight of the latest response time in the mean. */
  private static final double LATEST_WEIGHT = 1.0 / 32;

  private final long minTimeoutMillis;
  private double meanMillis;

  /**
   * Creates the timeout of an owner that has heard no worker yet.
   *
   * @param burstDelayMillis how long an answer may wait behind a burst of work at the owner, in
   *     milliseconds
   */
  public WorkerTimeout(long burstDelayMillis) {
    this.minTimeoutMillis = Math.min(MAX_TIMEOUT_MILLIS, MIN_TIMEOUT_MILLIS + burstDelayMillis);
  }

  /**
   * Records the response time of an answer, or the timeout of a missing one.
   *
   * @param millis the time in milliseconds
   */
  public void record(long millis) {
    meanMillis += LATEST_WEIGHT * (Math.max(0, millis) - meanMillis);
  }

  /**
   * Returns how long an answer is waited for.
   *
   * @return the timeout in milliseconds
   */
  public long millis() {
    long timeout = Math.round(MEAN_FACTOR * meanMillis);
    return Math.max(minTimeoutMillis, Math.min(MAX_TIMEOUT_MILLIS, timeout));
  }
}
