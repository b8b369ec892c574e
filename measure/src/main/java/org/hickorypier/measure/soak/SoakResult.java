package org.hickorypier.measure.soak;

import java.util.List;

/**
 * What came of one seed.
 *
 * <p>Immutable.
 *
 * @param seed the seed
 * @param broken what was broken, one line each
 * @param disturbances what was done
 * @param summary counts for the report
 */
record SoakResult(long seed, List<String> broken, List<Disturbance> disturbances, String summary) {

  SoakResult {
    broken = List.copyOf(broken);
    disturbances = List.copyOf(disturbances);
  }
}
