package org.hickorypier.daemon.time;

/** A running timer. Thread-safe. */
@FunctionalInterface
public interface TimerSubscription {

  /**
   * Cancels the timer. After a call on the control thread, the task does not run any more.
   * Idempotent.
   */
  void cancel();
}
