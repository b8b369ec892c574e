package org.hickorypier.daemon.work;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.hickorypier.core.model.WorkKey;

/**
 * Tracks which requests this instance recently answered or refused, even after their answers have
 * been evicted from the cache.
 *
 * <p>Without it, a caller that repeats a request after an unknown outcome or a lost answer would be
 * told that the request was not run, although it was.
 *
 * <p>Confined to the control thread. Invariant: at most the limit of requests is tracked. If an
 * entry that may have run is evicted before it expires, every untracked request counts as possibly
 * run until that expiry time.
 */
final class RecentRequests {

  private final long retentionMillis;
  private final int limit;
  private final Map<WorkKey, RecentRequest> latestByKey = new HashMap<>();
  private final Deque<RecentRequest> oldestFirst = new ArrayDeque<>();
  private long uncertainUntilMillis = Long.MIN_VALUE;

  RecentRequests(long retentionMillis, int limit) {
    this.retentionMillis = retentionMillis;
    this.limit = limit;
  }

  /** Records the end of a request. A later end never clears an earlier possible run. */
  void recordEnd(WorkKey key, boolean mayHaveRun, long now) {
    evictOldest(now);
    RecentRequest previous = latestByKey.get(key);
    boolean everMayHaveRun = mayHaveRun || previous != null && previous.mayHaveRun;
    RecentRequest entry = new RecentRequest(key, everMayHaveRun, now + retentionMillis);
    latestByKey.put(key, entry);
    oldestFirst.add(entry);
    evictOldest(now);
  }

  /** Returns whether an earlier try of a request may have run here. */
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
