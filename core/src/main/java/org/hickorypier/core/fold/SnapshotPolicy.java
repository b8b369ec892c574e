package org.hickorypier.core.fold;

/**
 * Decides when an instance publishes a snapshot of a stream's state.
 *
 * <p>Immutable and thread safe.
 *
 * <p>Load: records expire after some time, while the state they led to must stay. Harm prevented: a
 * team, key or limit that is known only to running instances and is lost when all restart. Any
 * instance may publish, since duplicates change nothing; the turns keep all from doing so at once,
 * and the next one steps in when the first is dead.
 *
 * @param intervalMillis the time between snapshots; a quarter of the log's retention at the most,
 *     so that after a restart of all instances, which forget when the last one was published, the
 *     next still comes before half the retention
 * @param recordThreshold the records after which one is published before its time, for a log that
 *     keeps a number of records
 * @param staggerMillis how much longer each instance waits than the one before it in the order of
 *     names
 */
public record SnapshotPolicy(long intervalMillis, long recordThreshold, long staggerMillis) {

  /**
   * The policy in use: made for a log that keeps records for 40 minutes or more and 20,000 records
   * or more of a stream. A turn is longer than a lost append takes to be repeated.
   */
  public static final SnapshotPolicy DEFAULT = new SnapshotPolicy(10 * 60_000L, 5_000, 20_000);

  /**
   * Decides.
   *
   * @param millisSince the time since the last snapshot was read, or since the start if none was
   * @param recordsSince the records read since then
   * @param turn this instance's place among the live ones by name, from 0
   * @return true if this instance publishes one now
   */
  public boolean isDue(long millisSince, long recordsSince, int turn) {
    long late = turn * staggerMillis;
    boolean oldEnough = millisSince >= intervalMillis + late;
    boolean manyRecords = recordsSince >= recordThreshold && millisSince >= late;
    return oldEnough || manyRecords;
  }
}
