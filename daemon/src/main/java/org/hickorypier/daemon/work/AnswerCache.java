package org.hickorypier.daemon.work;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.WorkKey;

/**
 * Caches final answers for a limited time, so that a repeated request gets the first answer and
 * does not run again.
 *
 * <p>Confined to the control thread. Invariant: the cached bytes never exceed the limit; the oldest
 * answer is evicted first.
 */
final class AnswerCache {

  private static final int ENTRY_OVERHEAD_BYTES = 200;

  private final long retentionMillis;
  private final long maxBytes;
  private final Map<WorkKey, CachedAnswer> answersByKey = new HashMap<>();
  private final Deque<CachedAnswer> oldestFirst = new ArrayDeque<>();
  private long bytes;

  AnswerCache(long keepMillis, long keepBytes) {
    this.retentionMillis = keepMillis;
    this.maxBytes = keepBytes;
  }

  Optional<WorkResult> find(WorkKey key, long now) {
    evictOldest(now);
    return Optional.ofNullable(answersByKey.get(key)).map(CachedAnswer::result);
  }

  void put(WorkKey key, WorkResult result, long now) {
    int size = ENTRY_OVERHEAD_BYTES;
    if (result instanceof WorkResult.Answered answered) {
      size += answered.body().length;
    }
    CachedAnswer entry = new CachedAnswer(key, result, size, now + retentionMillis);
    answersByKey.put(key, entry);
    oldestFirst.add(entry);
    bytes += size;
    evictOldest(now);
  }

  private void evictOldest(long now) {
    while (!oldestFirst.isEmpty()
        && (oldestFirst.peek().expiryMillis() <= now || bytes > maxBytes)) {
      CachedAnswer oldest = oldestFirst.poll();
      bytes -= oldest.sizeBytes();
      answersByKey.remove(oldest.key(), oldest);
    }
  }

  private record CachedAnswer(WorkKey key, WorkResult result, int sizeBytes, long expiryMillis) {}
}
