package org.hickorypier.daemon.log;

import java.time.Duration;

/**
 * How records are appended to a stream.
 *
 * <p>Immutable.
 *
 * @param queuedRecords the most records that wait or are not yet read back
 * @param batchRecords the most records to an append
 * @param batchBytes the most bytes to an append, but for a single record that is larger
 * @param interval the least time between the starts of two appends
 * @param answerTimeout how long an append's answer may take before it counts as lost
 * @param firstBackoff the longest wait after the first failure
 * @param longestBackoff the longest wait after many failures
 */
public record AppendSettings(
    int queuedRecords,
    int batchRecords,
    int batchBytes,
    Duration interval,
    Duration answerTimeout,
    Duration firstBackoff,
    Duration longestBackoff) {

  /**
   * The settings in use today, for 8 instances: at most 50 appends a second each, 400 in all, of
   * the several hundred that the log takes. The queue holds half a minute of the journal's load at
   * one instance and some megabytes of a daemon's 256 MB.
   */
  public static final AppendSettings DEFAULT =
      new AppendSettings(
          2_000,
          256,
          512 * 1024,
          Duration.ofMillis(20),
          Duration.ofSeconds(3),
          Duration.ofMillis(200),
          Duration.ofSeconds(2));
}
