package org.hickorypier.daemon.work;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorypier.core.model.WorkKey;

/**
 * Tracks when callers first tried their requests at this instance, be it the home of the request or
 * an instance on the way there, whatever the outcome of each try.
 *
 * <p>When demand exceeds capacity, callers retry after a refusal, or after an unknown outcome
 * caused by a lost instance. Without the time of the first try, each retry would count as the
 * newest request.
 *
 * <p>Confined to the control thread. Invariant: at most the limit of requests is tracked; the least
 * recently tried request is evicted first.
 */
public final class FirstTryTracker {

  private final long retentionMillis;
  private final int limit;
  private final Map<WorkKey, TryTimes> triesByKey = new LinkedHashMap<>();

  /**
   * Creates an empty tracker.
   *
   * @param retentionMillis how long a request is tracked after its latest try
   * @param limit the maximum number of tracked requests
   */
  public FirstTryTracker(long retentionMillis, int limit) {
    this.retentionMillis = retentionMillis;
    this.limit = limit;
  }

  /**
   * Records a try of a request.
   *
   * @param submission the request
   * @param now the current time in milliseconds
   * @return the request with the time of its earliest known try
   */
  public Submission recordTry(Submission submission, long now) {
    WorkKey key = submission.item().key();
    long first = submission.item().firstTriedMillis();
    TryTimes previous = triesByKey.remove(key);
    if (previous != null && now - previous.lastMillis <= retentionMillis) {
      first = Math.min(first, previous.firstMillis);
    }
    triesByKey.put(key, new TryTimes(first, now));
    evictOldest(now);
    return submission.withFirstTriedMillis(first);
  }

  /**
   * Returns for how long a request has been tried.
   *
   * @param key the request
   * @param now the current time in milliseconds
   * @return milliseconds since its first try, 0 if none is known
   */
  public long triedForMillis(WorkKey key, long now) {
    evictOldest(now);
    TryTimes known = triesByKey.get(key);
    return known == null ? 0 : now - known.firstMillis;
  }

  private void evictOldest(long now) {
    Iterator<TryTimes> oldest = triesByKey.values().iterator();
    while (oldest.hasNext()) {
      boolean isExpired = now - oldest.next().lastMillis > retentionMillis;
      if (!isExpired && triesByKey.size() <= limit) {
        return;
      }
      oldest.remove();
    }
  }

  private record TryTimes(long firstMillis, long lastMillis) {}
}
