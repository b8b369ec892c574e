package org.hickorypier.measure.soak;

import java.nio.file.Path;

/**
 * How large a soak is.
 *
 * <p>Immutable.
 *
 * @param instances how many instances run as processes
 * @param workers how many workers the stand-in platform has
 * @param disturbances how many disturbances a seed has, at least
 * @param handInSpreadMillis the longest time between two submissions that callers hand in
 * @param loadMillis how long callers hand in work, and all disturbances begin and end
 * @param calmMillis how long, at most, what was accepted may take to come to an end after that
 * @param release whether workers are replaced and instances restarted in turn, with tasks that last
 * @param crashing whether some submissions have a task that crashes the workers that start it, and
 *     capacities of workers change
 * @param restarting whether workers start again and are cut off soon after, beside tasks that take
 *     longer than the longest lease
 * @param large whether some submissions have many tasks, many steps, long texts or a time at which
 *     they are due, and one is a service whose tasks fail at each start
 * @param reports where the logs of a seed with a breach go
 */
record SoakSettings(
    int instances,
    int workers,
    int disturbances,
    int handInSpreadMillis,
    long loadMillis,
    long calmMillis,
    boolean release,
    boolean crashing,
    boolean restarting,
    boolean large,
    Path reports) {

  /** The usual size: three instances, six workers, some ten disturbances in fifteen seconds. */
  static SoakSettings usual(Path reports) {
    return new SoakSettings(3, 6, 9, 220, 15_000, 40_000, false, false, false, false, reports);
  }

  /**
   * A release: one instance more, so that one is there while others restart, time for two rounds,
   * and about as many submissions as usual, so that all come to an end in the calm.
   */
  static SoakSettings release(Path reports) {
    return new SoakSettings(4, 8, 9, 440, 30_000, 40_000, true, false, false, false, reports);
  }

  /** Tasks that crash their workers beside others, on two workers more, and fewer disturbances. */
  static SoakSettings crashing(Path reports) {
    return new SoakSettings(3, 8, 4, 220, 15_000, 90_000, false, true, false, false, reports);
  }

  /** Three data centres of three workers, each of which starts again and is cut off once. */
  static SoakSettings restarting(Path reports) {
    return new SoakSettings(3, 9, 2, 440, 33_000, 120_000, false, false, true, false, reports);
  }

  /** Large and scheduled submissions and a failing service beside the usual ones. */
  static SoakSettings large(Path reports) {
    return new SoakSettings(3, 6, 4, 220, 20_000, 120_000, false, false, false, true, reports);
  }
}
