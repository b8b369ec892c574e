package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells workers that have left from workers that have fallen silent, by their entries in the list.
 *
 * <p>An entry is removed when its worker has left, or after three heartbeats without one. So a
 * worker that drained, and whose entry changed less than two heartbeats before it was removed, has
 * left: nothing runs there any more. A worker that is cut off may run on until its lease expires.
 * Belongs to the control thread.
 */
public final class DepartureDetector {

  private static final int MAX_AGE_HEARTBEATS = 2;

  private final long heartbeatMillis;
  private final Map<String, Long> drainingNotBefore = new HashMap<>();

  /**
   * Creates a detector.
   *
   * @param heartbeatMillis how often a worker writes its entry, in milliseconds
   */
  public DepartureDetector(long heartbeatMillis) {
    this.heartbeatMillis = heartbeatMillis;
  }

  /**
   * Notes that a worker has written its entry.
   *
   * @param entry the entry
   * @param notBefore a time before which it was not written
   */
  public void recordWrite(WorkerEntry entry, long notBefore) {
    if (entry.draining()) {
      drainingNotBefore.put(entry.id(), notBefore);
    } else {
      drainingNotBefore.remove(entry.id());
    }
  }

  /** Forgets all entries, since it is not known when they were written. */
  public void clear() {
    drainingNotBefore.clear();
  }

  /**
   * Notes that an entry was removed.
   *
   * @param id the worker's id
   * @param unbrokenSince the clock has not stood still since this time
   * @param now the time
   * @return true if the worker has left
   */
  public boolean recordRemoval(String id, long unbrokenSince, long now) {
    Long notBefore = drainingNotBefore.remove(id);
    return notBefore != null
        && notBefore > unbrokenSince
        && now - notBefore < MAX_AGE_HEARTBEATS * heartbeatMillis;
  }
}
