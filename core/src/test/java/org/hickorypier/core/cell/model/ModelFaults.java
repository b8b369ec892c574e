package org.hickorypier.core.cell.model;

/** The faults currently injected between owners, store and workers. */
final class ModelFaults {

  /** Share of orders that are executed 2 to 12 s late, so that the owner gets no response. */
  double delayedOrderShare;

  double lostOrderShare;

  double lostAnswerShare;

  /** Additional latency of the store in each direction, in milliseconds. */
  long storeDelayMillis;

  /** Whether the store is unreachable for all owners. */
  boolean storeDown;

  void clear() {
    delayedOrderShare = 0;
    lostOrderShare = 0;
    lostAnswerShare = 0;
    storeDelayMillis = 0;
    storeDown = false;
  }
}
