package org.hickorypier.measure.delivery;

import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;

/**
 * What a scheme costs when every instance sends one update a second.
 *
 * <p>Immutable.
 *
 * @param scheme its name
 * @param links links that the busiest instance keeps
 * @param sentMean copies that an instance sends a second, on average
 * @param sentWorst copies that the busiest instance sends a second
 * @param receivedMean copies that an instance receives a second, on average
 * @param hops the most hops of any update
 * @param unreachedPerMillion instances that an update misses while all are well, per million
 * @param staleSeconds with one inner node dead, the longest time that a live instance goes without
 *     an update of another live one; worst case over who dies
 */
record DeliveryFigures(
    String scheme,
    int links,
    double sentMean,
    int sentWorst,
    double receivedMean,
    int hops,
    double unreachedPerMillion,
    int staleSeconds) {

  /** Rounds measured while all are well: many for chance, a multiple of the stripes for turns. */
  private static final int WELL_ROUNDS = 400;

  /** Rounds until the others have noticed: 3.5 s of silence, then the next update. */
  private static final int NOTICED_AFTER = 4;

  private static final int DEAD_ROUNDS = 12;
  private static final double MILLION = 1_000_000;

  static DeliveryFigures of(DeliveryScheme scheme, int instances) {
    int[] sent = new int[instances];
    long received = 0;
    long missed = 0;
    int hops = 0;
    for (int round = 0; round < WELL_ROUNDS; round++) {
      for (int source = 0; source < instances; source++) {
        Broadcast broadcast = scheme.broadcast(source, round, Health.ALL_WELL);
        hops = Math.max(hops, broadcast.mostHops());
        for (int instance = 0; instance < instances; instance++) {
          sent[instance] += broadcast.sent(instance);
          received += broadcast.received(instance);
          missed += broadcast.reached(instance) ? 0 : 1;
        }
      }
    }
    double updates = (double) WELL_ROUNDS * instances;
    return new DeliveryFigures(
        scheme.name(),
        scheme.links(),
        IntStream.of(sent).sum() / updates,
        IntStream.of(sent).max().orElse(0) / WELL_ROUNDS,
        received / updates,
        hops,
        missed * MILLION / (updates * (instances - 1)),
        stalest(scheme, instances));
  }

  private static int stalest(DeliveryScheme scheme, int instances) {
    return worst(instances, dead -> stalestWithout(scheme, instances, dead));
  }

  private static int stalestWithout(DeliveryScheme scheme, int instances, int dead) {
    return worst(
        instances, source -> source == dead ? 0 : longestGap(scheme, instances, source, dead));
  }

  private static int longestGap(DeliveryScheme scheme, int instances, int source, int dead) {
    int[] lastHeard = new int[instances];
    java.util.Arrays.fill(lastHeard, -1);
    int longest = 0;
    for (int round = 0; round < DEAD_ROUNDS; round++) {
      Broadcast broadcast =
          scheme.broadcast(source, round, new Health(dead, round >= NOTICED_AFTER));
      for (int instance = 0; instance < instances; instance++) {
        if (instance != dead && broadcast.reached(instance)) {
          longest = Math.max(longest, round - lastHeard[instance]);
          lastHeard[instance] = round;
        }
      }
    }
    return longest;
  }

  private static int worst(int instances, IntUnaryOperator figure) {
    return IntStream.range(0, instances).map(figure).max().orElse(0);
  }
}
