package org.hickorypier.core.scheduling;

/** Chooses a worker for one task of an item. */
@FunctionalInterface
interface PlacementPolicy {

  /**
   * Chooses a worker that fits one more task.
   *
   * @param queued the item
   * @param allowed an additional condition on the worker
   * @return the worker, or null if none fits
   */
  WorkerState choose(QueuedItem queued, WorkerFilter allowed);
}
