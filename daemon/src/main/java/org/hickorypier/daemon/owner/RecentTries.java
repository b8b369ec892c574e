package org.hickorypier.daemon.owner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The tries of the last minute to submit something through this instance, with their copies.
 *
 * <p>A refusal speaks of the submission, not of one try: a caller may come back after an unknown
 * outcome, and its earlier try may have been accepted by another owner than the one that refuses
 * the next. Confined to the control thread.
 */
final class RecentTries {

  /** Callers come back within this time after a try. */
  private static final long KEPT_MILLIS = 60_000;

  /** A minute of the submissions that one instance takes at its busiest, with some to spare. */
  private static final int MAX_TRIES = 10_000;

  private final Deque<Try> tries = new ArrayDeque<>();
  private final Map<String, List<RequestCopies>> copiesById = new HashMap<>();

  private record Try(String id, long at) {}

  /**
   * Adds a try.
   *
   * @param copies its copies, which may change later
   * @param now the time of a monotonic clock, in milliseconds
   * @return a view of the copies of all tries with the same id, also of this one and later ones
   */
  List<RequestCopies> add(String id, RequestCopies copies, long now) {
    while (!tries.isEmpty()
        && (now - tries.peekFirst().at > KEPT_MILLIS || tries.size() >= MAX_TRIES)) {
      removeOldest();
    }
    List<RequestCopies> all = copiesById.computeIfAbsent(id, key -> new ArrayList<>());
    all.add(copies);
    tries.addLast(new Try(id, now));
    return Collections.unmodifiableList(all);
  }

  private void removeOldest() {
    String id = tries.removeFirst().id;
    List<RequestCopies> all = copiesById.get(id);
    all.remove(0);
    if (all.isEmpty()) {
      copiesById.remove(id);
    }
  }
}
