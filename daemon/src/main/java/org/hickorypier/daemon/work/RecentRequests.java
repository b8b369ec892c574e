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

  private final long retentionMillis;
  private final int limit;
  private final Map<WorkKey, RecentRequest> latestByKey = new HashMap<>();
  private final Deque<RecentRequest> oldestFirst = new ArrayDeque<>();
  private long uncertainUntilMillis = Long.MIN_VALUE;

  RecentRequests(long keepMillis, int limit) {
    this.retentionMillis = keepMillis;
    this.limit = limit;
  }

  /** Notes the end of a request. What may have run once stays so. */
  void recordEnd(WorkKey key, boolean mayHaveRun, long now) {
    evictOldest(now);
    RecentRequest before = latestByKey.get(key);
    boolean everMayHaveRun = mayHaveRun || before != null && before.mayHaveRun;
    RecentRequest entry = new RecentRequest(key, everMayHaveRun, now + retentionMillis);
    latestByKey.put(key, entry);
    oldestFirst.add(entry);
    evictOldest(now);
  }

  /** Tells whether an earlier try of a request may have run here. */
  boolean mayHaveRun(WorkKey key, long now) {
    evictOldest(now);
    RecentRequest entry = latestByKey.get(key);
    return entry != null ? entry.mayHaveRun : now < uncertainUntilMillis;
  }

  private void evictOldest(long now) {
    while (!oldestFirst.isEmpty()
        && (oldestFirst.peek().expiryMillis <= now || oldestFirst.size() > limit)) {
      RecentRequest oldest = oldestFirst.poll();
      boolean isLatest = latestByKey.remove(oldest.key, oldest);
      if (isLatest && oldest.mayHaveRun && oldest.expiryMillis > now) {
        uncertainUntilMillis = Math.max(uncertainUntilMillis, oldest.expiryMillis);
      }
    }
  }

  private record RecentRequest(WorkKey key, boolean mayHaveRun, long expiryMillis) {}
}
