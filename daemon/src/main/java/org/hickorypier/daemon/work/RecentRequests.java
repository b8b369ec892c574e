package org.hickorypier.daemon.work;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.hickorypier.core.model.WorkKey;

/**
 * Remembers which requests were answered or refused here lately, longer than their answers.
 *
 * <p>Failure prevented: a caller whose first try had an unknown outcome, or whose answer was lost,
 * comes back and is told that its request was not run, although it was.
 *
 * <p>Belongs to the control thread. Invariant: never more than the limit; what is forgotten before
 * its time makes everything uncertain until that time.
 */
final class RecentRequests {

  private final long keepMillis;
  private final int limit;
  private final Map<WorkKey, Kept> kept = new HashMap<>();
  private final Deque<Kept> order = new ArrayDeque<>();
  private long uncertainUntilMillis = Long.MIN_VALUE;

  RecentRequests(long keepMillis, int limit) {
    this.keepMillis = keepMillis;
    this.limit = limit;
  }

  /** Notes the end of a request. What may have run once stays so. */
  void put(WorkKey key, boolean mayHaveRun, long now) {
    dropOld(now);
    Kept before = kept.get(key);
    boolean everMayHaveRun = mayHaveRun || before != null && before.mayHaveRun;
    Kept entry = new Kept(key, everMayHaveRun, now + keepMillis);
    kept.put(key, entry);
    order.add(entry);
    dropOld(now);
  }

  /** Tells whether an earlier try of a request may have run here. */
  boolean mayHaveRun(WorkKey key, long now) {
    dropOld(now);
    Kept entry = kept.get(key);
    return entry != null ? entry.mayHaveRun : now < uncertainUntilMillis;
  }

  private void dropOld(long now) {
    while (!order.isEmpty() && (order.peek().expires <= now || order.size() > limit)) {
      Kept oldest = order.poll();
      boolean isLatest = kept.remove(oldest.key, oldest);
      if (isLatest && oldest.mayHaveRun && oldest.expires > now) {
        uncertainUntilMillis = Math.max(uncertainUntilMillis, oldest.expires);
      }
    }
  }

  private record Kept(WorkKey key, boolean mayHaveRun, long expires) {}
}
