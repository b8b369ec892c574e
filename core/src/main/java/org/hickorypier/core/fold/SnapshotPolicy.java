package org.hickorypier.core.fold;

/**
 * Decides when an instance publishes a snapshot of a stream's state.
 *
 * <p>Immutable and thread-safe.
 *
 * <p>Records expire after some time, while the state that results from them must persist. Without
 * snapshots, a team, key or limit would be known only to running instances and be lost when all of
 * them restart. Any instance may publish, since duplicates change nothing. A delay by rank keeps
 * the instances from publishing at the same time and lets the next one publish when the first has
 * failed.
 *
 * @param intervalMillis the time between snapshots, at most a quarter of the log's retention, so
 *     that after a restart of all instances, which do not persist the time of the last snapshot,
 *     the next one is still published within half the retention
 * @param recordThreshold the number of records after which a snapshot is published before the
 *     interval ends, for a log that retains a limited number of records
 * @param staggerMillis the additional delay of each instance after the previous one in the order of
 *     names
 */
public record SnapshotPolicy(long intervalMillis, long recordThreshold, long staggerMillis) {

  /**
   * The policy for a log that retains records for at least 40 minutes and at least 20,000 records
   * of each stream. The delay between instances exceeds the time in which a lost append is retried.
   */
  public static final SnapshotPolicy DEFAULT = new SnapshotPolicy(10 * 60_000L, 5_000, 20_000);

  /**
   * Returns whether an instance publishes a snapshot now.
   *
   * @param millisSince the milliseconds since the last snapshot was read, or since the start if
   *     none was read
   * @param recordsSince the number of records read since then
   * @param rank the position of this instance among the live instances in the order of names, from
   *     0
   * @return whether this instance publishes a snapshot now
   */
  public boolean isDue(long millisSince, long recordsSince, int rank) {
    long delayMillis = rank * staggerMillis;
    boolean isIntervalOver = millisSince >= intervalMillis + delayMillis;
    boolean hasManyRecords = recordsSince >= recordThreshold && millisSince >= delayMillis;
    return isIntervalOver || hasManyRecords;
  }
}
