package org.hickorypier.daemon.work;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorypier.core.model.WorkKey;

/**
 * Remembers when callers first asked this instance, as home of their requests or on the way there,
 * whatever became of their tries.
 *
 * <p>Load: a demand above the capacity, with callers whose tries were refused, or ended as unknown
 * with a lost instance. Harm prevented: whoever comes back would be the newest again.
 *
 * <p>Belongs to the control thread. Invariant: never more than the limit; whoever was not heard for
 * the longest time goes first.
 */
public final class FirstTryTracker {

  private final long retentionMillis;
  private final int limit;
  private final Map<WorkKey, TryTimes> triesByKey = new LinkedHashMap<>();

  /**
   * Creates a memory without requests.
   *
   * @param keepMillis how long after a try its caller may come back
   * @param limit how many requests are remembered
   */
  public FirstTryTracker(long keepMillis, int limit) {
    this.retentionMillis = keepMillis;
    this.limit = limit;
  }

  /**
   * Notes a try.
   *
   * @param submission the request
   * @param now the time
   * @return the request with the time of its first try, as far as known here
   */
  public Submission recordTry(Submission submission, long now) {
    WorkKey key = submission.item().key();
    long first = submission.item().firstTriedMillis();
    TryTimes before = triesByKey.remove(key);
    if (before != null && now - before.lastMillis <= retentionMillis) {
      first = Math.min(first, before.firstMillis);
    }
    triesByKey.put(key, new TryTimes(first, now));
    evictOldest(now);
    return submission.withFirstTriedMillis(first);
  }

  /**
   * Tells for how long a caller has been asking.
   *
   * @param key the request
   * @param now the time
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
      boolean isOld = now - oldest.next().lastMillis > retentionMillis;
      if (!isOld && triesByKey.size() <= limit) {
        return;
      }
      oldest.remove();
    }
  }

  private record TryTimes(long firstMillis, long lastMillis) {}
}
