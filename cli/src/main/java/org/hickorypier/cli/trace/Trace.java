package org.hickorypier.cli.trace;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/** Tells the life of one submission, with what changed around it. Stateless. */
final class Trace {

  /** Events that explain a delay of any submission, whichever it is. */
  private static final Set<String> AROUND =
      Set.of(
          "owner owner-gained",
          "owner owner-lost",
          "ownership taking-over",
          "journal store-lost",
          "journal store-regained",
          "configuration store-lost",
          "configuration store-regained",
          "configuration version-in-force",
          "cell worker-silent",
          "run worker-lost",
          "run worker-crashed",
          "run worker-reborn",
          "run worker-quarantined",
          "node starting",
          "node stopping");

  /** An outage that meets a request began before it; callers wait for some 3 s. */
  private static final long BEFORE_MILLIS = 4_000;

  private Trace() {}

  /**
   * Tells the life.
   *
   * @param lines all events that were found
   * @param id the submission
   * @param gapMillis a silence longer than this is named, in milliseconds
   * @return one line an event, in order of time; empty if nothing tells of the submission
   */
  static List<String> tell(Collection<TraceLine> lines, String id, long gapMillis) {
    List<TraceLine> own =
        lines.stream()
            .filter(line -> line.id().equals(id))
            .sorted(Comparator.comparingLong(TraceLine::timeMillis))
            .toList();
    if (own.isEmpty()) {
      return List.of();
    }
    long first = own.get(0).timeMillis();
    long last = own.get(own.size() - 1).timeMillis();
    List<TraceLine> shown =
        lines.stream()
            .filter(line -> line.id().equals(id) || around(line, first - BEFORE_MILLIS, last))
            .sorted(Comparator.comparingLong(TraceLine::timeMillis))
            .toList();
    List<String> told = new ArrayList<>();
    long before = shown.get(0).timeMillis();
    for (TraceLine line : shown) {
      if (line.timeMillis() - before > gapMillis) {
        told.add("          ... nothing logged for " + (line.timeMillis() - before) + " ms");
      }
      before = line.timeMillis();
      String mark = line.id().equals(id) ? " " : "~";
      told.add(
          "%+8d ms %s %-18s %-26s %s"
              .formatted(
                  line.timeMillis() - first, mark, line.instance(), line.event(), line.details())
              .stripTrailing());
    }
    return told;
  }

  private static boolean around(TraceLine line, long first, long last) {
    return line.timeMillis() >= first && line.timeMillis() <= last && AROUND.contains(line.event());
  }
}
