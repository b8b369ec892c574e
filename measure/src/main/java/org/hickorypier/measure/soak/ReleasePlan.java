package org.hickorypier.measure.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Draws releases of the workers' software that overlap with restarts of the instances, both one
 * after the other, from a seed. Stateless.
 */
final class ReleasePlan {

  /** Two releases and two rounds of restarts, so that each meets the other at several points. */
  private static final int ROUNDS = 2;

  /** The earliest and latest moments of a series, from the start of its round. */
  private static final long FIRST_MILLIS = 1_000;

  private static final long LATEST_FIRST_MILLIS = 5_000;

  private static final long SHORTEST_WORKER_INTERVAL_MILLIS = 300;
  private static final long LONGEST_WORKER_INTERVAL_MILLIS = 1_500;
  private static final long SHORTEST_DRAIN_MILLIS = 2_500;
  private static final long LONGEST_DRAIN_MILLIS = 7_000;
  private static final long SHORTEST_INSTANCE_INTERVAL_MILLIS = 1_500;
  private static final long LONGEST_INSTANCE_INTERVAL_MILLIS = 4_000;

  /** One plan in three has some unplanned disturbances too. */
  private static final int WITH_TROUBLE = 3;

  private static final int MOST_TROUBLE = 3;

  private final Random random;
  private final List<Disturbance> drawn = new ArrayList<>();

  private ReleasePlan(Random random) {
    this.random = random;
  }

  /**
   * Draws a plan; the same seed and sizes give the same plan.
   *
   * @param seed the seed
   * @param settings how many instances and workers there are, and how long the load takes
   * @return the disturbances in the order of their beginnings
   */
  static List<Disturbance> draw(long seed, SoakSettings settings) {
    ReleasePlan plan = new ReleasePlan(new Random(seed));
    long roundMillis = settings.loadMillis() / ROUNDS;
    for (int round = 0; round < ROUNDS; round++) {
      long from = round * roundMillis;
      plan.releases(from, from + roundMillis, settings.workers());
      plan.restarts(from, settings.loadMillis(), settings.instances());
    }
    if (plan.random.nextInt(WITH_TROUBLE) == 0) {
      int count = 1 + plan.random.nextInt(MOST_TROUBLE);
      plan.drawn.addAll(DisturbancePlan.draw(seed, count, settings.loadMillis()));
    }
    plan.drawn.sort(Comparator.comparingLong(Disturbance::atMillis));
    return plan.drawn;
  }

  private void releases(long from, long end, int workers) {
    long interval = between(SHORTEST_WORKER_INTERVAL_MILLIS, LONGEST_WORKER_INTERVAL_MILLIS);
    long drain = between(SHORTEST_DRAIN_MILLIS, LONGEST_DRAIN_MILLIS);
    long at = from + between(FIRST_MILLIS, LATEST_FIRST_MILLIS);
    int first = random.nextInt(workers);
    for (int index = 0; index < workers && at + drain <= end; index++) {
      drawn.add(new Disturbance(at, DisturbanceKind.RELEASE_WORKER, first + index, drain));
      at += interval;
    }
  }

  private void restarts(long from, long end, int instances) {
    long interval = between(SHORTEST_INSTANCE_INTERVAL_MILLIS, LONGEST_INSTANCE_INTERVAL_MILLIS);
    long at = from + between(FIRST_MILLIS, LATEST_FIRST_MILLIS);
    int first = random.nextInt(instances);
    for (int index = 0; index < instances && at + interval <= end; index++) {
      drawn.add(new Disturbance(at, DisturbanceKind.TERMINATE_INSTANCE, first + index, interval));
      at += interval;
    }
  }

  private long between(long least, long most) {
    return least + random.nextInt((int) (most - least));
  }
}
