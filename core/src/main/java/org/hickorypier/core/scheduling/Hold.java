package org.hickorypier.core.scheduling;

import java.util.List;

/**
 * Workers held for one item.
 *
 * <p>The record is immutable, but its owner and workers are not. Confined to the control thread.
 *
 * @param owner the item that the workers are held for
 * @param workers the held workers
 * @param expectedStartMillis when the item is expected to fit, on the monotonic clock
 */
record Hold(QueuedItem owner, List<WorkerState> workers, long expectedStartMillis) {

  /** Copies the list of workers. */
  Hold {
    workers = List.copyOf(workers);
  }

  /** Returns whether an item may use the held workers at the given time. */
  boolean admits(QueuedItem queued, long now) {
    return queued == owner || now + queued.item().expectedRunMillis() <= expectedStartMillis;
  }
}
