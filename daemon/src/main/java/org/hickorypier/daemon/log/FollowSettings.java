package org.hickorypier.daemon.log;

import java.time.Duration;

/**
 * How a stream is followed.
 *
 * <p>Immutable.
 *
 * @param pageRecords the most records to a read
 * @param longPoll how long the service may hold a read with nothing to return
 * @param answerMargin how much longer an answer may take before the read counts as lost
 * @param firstBackoff the longest wait after the first failure
 * @param longestBackoff the longest wait after many failures
 */
public record FollowSettings(
    int pageRecords,
    Duration longPoll,
    Duration answerMargin,
    Duration firstBackoff,
    Duration longestBackoff) {

  /**
   * The settings in use. A quiet stream costs one read each 2 s, some 300 bytes a second, of the 2
   * KB a second that a daemon may spend on control. A read that hangs for good is given up after 5
   * s. After an outage the longest wait bounds how late a withdrawn key is heard of, and 60
   * instances with three streams ask at most 90 times a second.
   */
  public static final FollowSettings DEFAULT =
      new FollowSettings(
          500,
          Duration.ofSeconds(2),
          Duration.ofSeconds(3),
          Duration.ofMillis(100),
          Duration.ofSeconds(2));
}
