package org.hickorypier.daemon.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A candidate that the owner may hand the cell over to.
 *
 * <p>The order of candidates matters when a rolling restart stops one instance every two seconds
 * while some machines are several times slower than usual. Handing over to instances that were
 * still to be restarted led to five owners in ten seconds, each with a pause for all callers; slow
 * instances fell behind and were replaced within two seconds. Among machines of equal strength the
 * one that was started last comes first, since a rolling restart has already passed it. Immutable.
 *
 * @param peer the instance
 * @param strength the load that its machine can carry
 * @param startedAtMillis when it was started, by the owner's monotonic clock, in milliseconds
 * @param workMicros how long the benchmark workload takes it now, in microseconds, or {@link
 *     #NO_ANSWER_MICROS}
 */
record Successor(Peer peer, int strength, long startedAtMillis, int workMicros) {

  /** Stands for the measurement of an instance that does not answer in time. */
  static final int NO_ANSWER_MICROS = Integer.MAX_VALUE;

  /** Orders instances that are not slow, the preferred one first. */
  static final Comparator<Successor> PREFERENCE_ORDER =
      Comparator.comparingInt((Successor candidate) -> -candidate.strength)
          .thenComparingLong(candidate -> -candidate.startedAtMillis);

  /**
   * Multiple of the fastest measurement above which an instance counts as slow. A process that was
   * just started takes up to three times as long as one that has run for a while.
   */
  private static final long SLOWNESS_RATIO = 4;

  /**
   * Returns the instances with the preferred one first; slow instances and those without a
   * measurement come last.
   */
  static List<Successor> sortedByPreference(List<Successor> all) {
    long fastestMicros =
        all.stream().mapToLong(Successor::workMicros).min().orElse(NO_ANSWER_MICROS);
    List<Successor> ordered = new ArrayList<>(all);
    ordered.sort(
        Comparator.comparing((Successor candidate) -> candidate.isSlow(fastestMicros))
            .thenComparing(PREFERENCE_ORDER));
    return ordered;
  }

  /**
   * Returns the instances that should stand by: those that an owner that leaves would ask first.
   *
   * @param all all linked instances
   * @param count the number of instances that stand by
   */
  static List<Successor> standbys(List<Successor> all, int count) {
    return all.stream().sorted(PREFERENCE_ORDER).limit(count).toList();
  }

  private boolean isSlow(long fastestMicros) {
    return workMicros > SLOWNESS_RATIO * fastestMicros || workMicros == NO_ANSWER_MICROS;
  }
}
