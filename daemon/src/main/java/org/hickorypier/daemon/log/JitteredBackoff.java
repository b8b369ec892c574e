package org.hickorypier.daemon.log;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Waits between tries: the bound doubles with each failure, and the wait is drawn evenly below it.
 *
 * <p>Load: all instances lose the log at the same moment and get it back at the same moment. Harm:
 * they would all try again in step and hold it down. An even draw over the whole bound spreads them
 * out; the lower limit keeps one instance from trying in a tight loop.
 *
 * <p>Not thread safe: for the control thread.
 */
final class JitteredBackoff {

  private static final long SHORTEST_MILLIS = 10;

  private final RandomGenerator random;
  private final long firstMillis;
  private final long longestMillis;
  private long boundMillis;

  JitteredBackoff(RandomGenerator random, Duration first, Duration longest) {
    this.random = random;
    this.firstMillis = Math.max(first.toMillis(), SHORTEST_MILLIS + 1);
    this.longestMillis = Math.max(longest.toMillis(), firstMillis);
    this.boundMillis = firstMillis;
  }

  Duration next() {
    long wait = SHORTEST_MILLIS + random.nextLong(boundMillis - SHORTEST_MILLIS);
    boundMillis = Math.min(boundMillis * 2, longestMillis);
    return Duration.ofMillis(wait);
  }

  void reset() {
    boundMillis = firstMillis;
  }
}
