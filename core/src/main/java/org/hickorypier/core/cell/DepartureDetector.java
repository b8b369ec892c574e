package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Distinguishes workers that have left from workers that are silent, by their entries in the worker
 * list.
 *
 * <p>An entry is removed when its worker leaves, or after three heartbeats without a write. A
 * worker that was draining, and whose entry changed less than two heartbeats before its removal,
 * has therefore left: nothing runs there any more. A worker that is cut off may continue to run
 * tasks until its lease expires. Confined to the control thread.
 */
public final class DepartureDetector {

  private static final int MAX_AGE_HEARTBEATS = 2;

  private final long heartbeatMillis;
  private final Map<String, Long> drainingNotBefore = new HashMap<>();

  /**
   * Creates a detector without entries.
   *
   * @param heartbeatMillis the interval at which a worker writes its entry, in milliseconds
   */
  public DepartureDetector(long heartbeatMillis) {
    this.heartbeatMillis = heartbeatMillis;
  }

  /**
   * Records that a worker has written its entry.
   *
   * @param entry the entry
   * @param notBefore the earliest time at which it may have been written, in milliseconds
   */
  public void recordWrite(WorkerEntry entry, long notBefore) {
    if (entry.draining()) {
      drainingNotBefore.put(entry.id(), notBefore);
    } else {
      drainingNotBefore.remove(entry.id());
    }
  }

  /** Discards all entries, for use when the times of their writes are not known. */
  public void clear() {
    drainingNotBefore.clear();
  }

  /**
   * Records that an entry was removed.
   *
   * @param id the worker's id
   * @param uninterruptedSince the end of the last suspension of this process, in milliseconds; the
   *     clock has run without interruption since then
   * @param now the time, in milliseconds
   * @return true if the worker has left
   */
  public boolean recordRemoval(String id, long uninterruptedSince, long now) {
    Long notBefore = drainingNotBefore.remove(id);
    return notBefore != null
        && notBefore > uninterruptedSince
        && now - notBefore < MAX_AGE_HEARTBEATS * heartbeatMillis;
  }
}
