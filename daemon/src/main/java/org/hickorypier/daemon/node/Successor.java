package org.hickorypier.daemon.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * An instance that the owner may hand over to.
 *
 * <p>Load: a rolling restart stops one instance every two seconds, while some machines are several
 * times slower than usual. Harm prevented: the cell was handed to instances that the restart had
 * still before it, five owners in ten seconds, each a pause for all callers; and to slow ones,
 * which fell behind and were replaced within two seconds. Of machines that are alike the one that
 * was started last comes first, since a rolling restart has passed it. Immutable.
 *
 * @param peer the instance
 * @param strength what its machine can carry
 * @param startedAtMillis when it was started, by the owner's steady clock, in milliseconds
 * @param workMicros how long a fixed piece of work takes it now, in microseconds, or {@link
 *     #NO_ANSWER}
 */
record Successor(Peer peer, int strength, long startedAtMillis, int workMicros) {

  /** Of an instance that does not answer in time. */
  static final int NO_ANSWER_MICROS = Integer.MAX_VALUE;

  /** The best first of those that are not slow. */
  static final Comparator<Successor> PREFERENCE_ORDER =
      Comparator.comparingInt((Successor each) -> -each.strength)
          .thenComparingLong(each -> -each.startedAtMillis);

  /** A process that was just started takes up to three times as long as an old one. */
  private static final long SLOWNESS_RATIO = 4;

  /** Orders instances, the best first; slow ones and those without an answer come last. */
  static List<Successor> sortedByPreference(List<Successor> all) {
    long quickest = all.stream().mapToLong(Successor::workMicros).min().orElse(NO_ANSWER_MICROS);
    List<Successor> ordered = new ArrayList<>(all);
    ordered.sort(
        Comparator.comparing((Successor each) -> each.isSlow(quickest))
            .thenComparing(PREFERENCE_ORDER));
    return ordered;
  }

  private boolean isSlow(long quickest) {
    return workMicros > SLOWNESS_RATIO * quickest || workMicros == NO_ANSWER_MICROS;
  }
}
