package org.hickorypier.core.scheduling;

/** Chooses a worker for one task of an item. */
@FunctionalInterface
interface PlacementPolicy {

  /**
   * Chooses a worker with room for one more task.
   *
   * @param queued the item
   * @param allowed what else must hold for the worker
   * @return the worker, or null if none has room
   */
  WorkerState choose(QueuedItem queued, WorkerFilter allowed);
}
