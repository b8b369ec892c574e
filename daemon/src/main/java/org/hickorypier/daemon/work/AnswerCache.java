package org.hickorypier.daemon.work;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.WorkKey;

/**
 * Final answers kept for a while, so that a caller who repeats a request gets the first answer and
 * no second run.
 *
 * <p>Belongs to the control thread. Invariant: the bytes kept never exceed the limit; the oldest
 * answer goes first.
 */
final class AnswerCache {

  private static final int ENTRY_OVERHEAD_BYTES = 200;

  private final long keepMillis;
  private final long keepBytes;
  private final Map<WorkKey, Kept> kept = new HashMap<>();
  private final Deque<Kept> order = new ArrayDeque<>();
  private long bytes;

  AnswerCache(long keepMillis, long keepBytes) {
    this.keepMillis = keepMillis;
    this.keepBytes = keepBytes;
  }

  Optional<WorkResult> find(WorkKey key, long now) {
    dropOld(now);
    return Optional.ofNullable(kept.get(key)).map(Kept::result);
  }

  void put(WorkKey key, WorkResult result, long now) {
    int size = ENTRY_OVERHEAD_BYTES;
    if (result instanceof WorkResult.Answered answered) {
      size += answered.body().length;
    }
    Kept entry = new Kept(key, result, size, now + keepMillis);
    kept.put(key, entry);
    order.add(entry);
    bytes += size;
    dropOld(now);
  }

  private void dropOld(long now) {
    while (!order.isEmpty() && (order.peek().expires() <= now || bytes > keepBytes)) {
      Kept oldest = order.poll();
      bytes -= oldest.size();
      kept.remove(oldest.key(), oldest);
    }
  }

  private record Kept(WorkKey key, WorkResult result, int size, long expires) {}
}
