package org.hickorypier.measure.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Draws restarts of whole data centres whose workers are cut off soon after they are back, from a
 * seed. Stateless.
 */
final class RestartPlan {

  /** Each data centre is struck once, possibly while the one before is still cut off. */
  private static final int STRIKES = 3;

  private static final long STRIKE_INTERVAL_MILLIS = 8_000;
  private static final long FIRST_MILLIS = 1_000;
  private static final long LATEST_FIRST_MILLIS = 2_500;

  private static final long SHORTEST_DOWN_MILLIS = 200;
  private static final long LONGEST_DOWN_MILLIS = 900;

  /** From the return of the workers to the cut. */
  private static final long SHORTEST_GAP_MILLIS = 50;

  private static final long LONGEST_GAP_MILLIS = 3_000;
  private static final long SHORTEST_CUT_MILLIS = 3_000;
  private static final long LONGEST_CUT_MILLIS = 10_000;

  private static final long SHORTEST_LOSS_OF_OWNER_MILLIS = 500;
  private static final long LONGEST_LOSS_OF_OWNER_MILLIS = 5_000;

  private final Random random;
  private final List<Disturbance> drawn = new ArrayList<>();

  private RestartPlan(Random random) {
    this.random = random;
  }

  /**
   * Draws a plan; the same seed and sizes give the same plan.
   *
   * @param seed the seed
   * @param settings how many other disturbances half of the plans have, and how long the load takes
   * @return the disturbances in the order of their beginnings
   */
  static List<Disturbance> draw(long seed, SoakSettings settings) {
    RestartPlan plan = new RestartPlan(new Random(seed));
    int first = plan.random.nextInt(STRIKES);
    for (int strike = 0; strike < STRIKES; strike++) {
      plan.strike(strike * STRIKE_INTERVAL_MILLIS, first + strike);
    }
    if (plan.random.nextBoolean()) {
      plan.drawn.addAll(DisturbancePlan.draw(seed, settings.disturbances(), settings.loadMillis()));
    }
    plan.drawn.sort(Comparator.comparingLong(Disturbance::atMillis));
    return plan.drawn;
  }

  private void strike(long from, int dataCentre) {
    long at = from + between(FIRST_MILLIS, LATEST_FIRST_MILLIS);
    long down = between(SHORTEST_DOWN_MILLIS, LONGEST_DOWN_MILLIS);
    long gap = between(SHORTEST_GAP_MILLIS, LONGEST_GAP_MILLIS);
    long cut = between(SHORTEST_CUT_MILLIS, LONGEST_CUT_MILLIS);
    drawn.add(new Disturbance(at, DisturbanceKind.RESTART_DATA_CENTRE, dataCentre, down));
    drawn.add(new Disturbance(at + down + gap, DisturbanceKind.CUT_DATA_CENTRE, dataCentre, cut));
    if (random.nextBoolean()) {
      DisturbanceKind kind =
          random.nextBoolean() ? DisturbanceKind.KILL_OWNER : DisturbanceKind.PAUSE_OWNER;
      long lost = between(SHORTEST_LOSS_OF_OWNER_MILLIS, LONGEST_LOSS_OF_OWNER_MILLIS);
      drawn.add(new Disturbance(at + down + between(0, gap), kind, 0, lost));
    }
  }

  private long between(long least, long most) {
    return least + random.nextInt((int) (most - least));
  }
}
