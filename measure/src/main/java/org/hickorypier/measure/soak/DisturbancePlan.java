package org.hickorypier.measure.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Draws the disturbances of a soak from its seed. Stateless. */
final class DisturbancePlan {

  private static final long FIRST_MILLIS = 500;
  private static final long SHORTEST_MILLIS = 200;

  /** Longer than a lease and than the time after which a silent owner is replaced. */
  private static final long LONGEST_MILLIS = 5_000;

  /** One disturbance in three comes with another of its kind, so that series overlap. */
  private static final int SERIES = 3;

  private static final int SHRINKING = 4;

  private DisturbancePlan() {}

  /**
   * Draws a plan; the same seed gives the same plan.
   *
   * @param seed the seed
   * @param count how many disturbances, at least
   * @param spanMillis the time in which all of them begin and end
   * @return the disturbances in the order of their beginnings
   */
  static List<Disturbance> draw(long seed, int count, long spanMillis) {
    Random random = new Random(seed);
    List<Disturbance> drawn = new ArrayList<>();
    while (drawn.size() < count) {
      Disturbance next = one(random, spanMillis);
      drawn.add(next);
      if (random.nextInt(SERIES) == 0) {
        drawn.add(again(random, next, spanMillis));
      }
    }
    drawn.sort(Comparator.comparingLong(Disturbance::atMillis));
    return drawn;
  }

  /** Draws workers whose capacity shrinks for some time. */
  static List<Disturbance> drawShrinking(long seed, long spanMillis) {
    Random random = new Random(~seed);
    List<Disturbance> drawn = new ArrayList<>();
    for (int index = 0; index < SHRINKING; index++) {
      long length = SHORTEST_MILLIS + random.nextInt((int) LONGEST_MILLIS);
      long at = FIRST_MILLIS + random.nextInt((int) (spanMillis - length - FIRST_MILLIS));
      drawn.add(new Disturbance(at, DisturbanceKind.SHRINK_WORKER, random.nextInt(64), length));
    }
    return drawn;
  }

  private static Disturbance one(Random random, long spanMillis) {
    long most = Math.min(LONGEST_MILLIS, spanMillis / 2);
    long length = SHORTEST_MILLIS + random.nextInt((int) (most - SHORTEST_MILLIS));
    long last = spanMillis - length - FIRST_MILLIS;
    long at = FIRST_MILLIS + random.nextInt((int) last);
    DisturbanceKind kind = DisturbanceKind.USUAL.get(random.nextInt(DisturbanceKind.USUAL.size()));
    return new Disturbance(at, kind, random.nextInt(64), length);
  }

  private static Disturbance again(Random random, Disturbance before, long spanMillis) {
    long latest = spanMillis - before.lengthMillis();
    long at = Math.min(latest, before.atMillis() + 1 + random.nextInt((int) LONGEST_MILLIS / 2));
    return new Disturbance(
        at, before.kind(), before.target() + random.nextInt(2), before.lengthMillis());
  }
}
