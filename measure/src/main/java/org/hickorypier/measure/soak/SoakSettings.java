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
 * @param loadMillis how long callers hand in work, and all disturbances begin and end
 * @param calmMillis how long, at most, what was accepted may take to come to an end after that
 * @param reports where the logs of a seed with a breach go
 */
record SoakSettings(
    int instances, int workers, int disturbances, long loadMillis, long calmMillis, Path reports) {

  /** The usual size: three instances, six workers, some ten disturbances in fifteen seconds. */
  static SoakSettings usual(Path reports) {
    return new SoakSettings(3, 6, 9, 15_000, 40_000, reports);
  }
}
