package org.hickorypier.measure.delivery;

import java.util.List;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;

/**
 * What digests cost on one link, frame headers included, and how near they keep the reader.
 *
 * <p>Immutable.
 *
 * @param named bytes a second if every digest named every team
 * @param first bytes of the first change on a link
 * @param unbounded bytes a second if changes were not bounded
 * @param bounded bytes a second as they are sent
 * @param roomSeconds time between two digests, on average
 * @param useError how far a reader is off a team's running tasks over all other instances, on
 *     average over time and teams, as a part of the mean
 */
record DigestFigures(
    double named,
    double first,
    double unbounded,
    double bounded,
    double roomSeconds,
    double useError) {

  private static final int SECONDS = 300;

  /** The first seconds are left out of the error: a link begins with a whole digest. */
  private static final int SETTLED_AFTER = 100;

  /**
   * Measures what one instance hears from all others.
   *
   * @param teams the number of teams
   * @param tasks the tasks that run on the fleet
   * @param instances the number of instances
   */
  static DigestFigures of(int teams, int tasks, int instances) {
    int links = instances - 1;
    List<DigestLoad> loads =
        IntStream.range(0, links)
            .mapToObj(seed -> new DigestLoad(teams, tasks / instances, seed))
            .toList();
    double off = 0;
    double truth = 0;
    for (int second = 0; second < SECONDS; second++) {
      for (DigestLoad load : loads) {
        load.second(second, links);
      }
      for (int team = 0; team < teams && second >= SETTLED_AFTER; team++) {
        int each = team;
        int running = loads.stream().mapToInt(load -> load.running(each)).sum();
        int known = loads.stream().mapToInt(load -> load.known(each)).sum();
        off += Math.abs(running - known);
        truth += running;
      }
    }
    return new DigestFigures(
        perSecond(loads, DigestLoad::named),
        loads.stream().mapToInt(DigestLoad::first).average().orElse(0),
        perSecond(loads, DigestLoad::unbounded),
        perSecond(loads, DigestLoad::bounded),
        1 / perSecond(loads, DigestLoad::digests),
        off / truth);
  }

  private static double perSecond(List<DigestLoad> loads, ToLongFunction<DigestLoad> count) {
    return loads.stream().mapToLong(count).average().orElse(0) / SECONDS;
  }
}
