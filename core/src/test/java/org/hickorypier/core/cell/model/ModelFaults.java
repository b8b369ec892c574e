package org.hickorypier.core.cell.model;

/** What goes wrong on the way between owners, store and workers, switched on and off in time. */
final class ModelFaults {

  /** Share of orders that get no answer and are carried out 2 to 12 s late. */
  double delayedOrderShare;

  /** Share of orders that are lost. */
  double lostOrderShare;

  /** Share of answers that are lost. */
  double lostAnswerShare;

  /** Milliseconds that the store takes more than usual. */
  long storeDelayMillis;

  /** The store answers nobody. */
  boolean storeDown;

  void clear() {
    delayedOrderShare = 0;
    lostOrderShare = 0;
    lostAnswerShare = 0;
    storeDelayMillis = 0;
    storeDown = false;
  }
}
