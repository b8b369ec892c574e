package org.hickorypier.core.scheduling;

import java.util.List;

/**
 * Workers that are kept free for one item.
 *
 * <p>Immutable, but for the state of what it names.
 *
 * @param owner the item
 * @param workers the workers
 * @param expectedStartMillis when the item is expected to fit
 */
record Hold(QueuedItem owner, List<WorkerState> workers, long expectedStartMillis) {

  /** Copies the list. */
  Hold {
    workers = List.copyOf(workers);
  }

  /** Tells whether an item may use the held workers now. */
  boolean admits(QueuedItem queued, long now) {
    return queued == owner || now + queued.item().expectedRunMillis() <= expectedStartMillis;
  }
}
