package org.hickorypier.daemon.time;

/** A running timer. Safe to use from any thread. */
@FunctionalInterface
public interface TimerSubscription {

  /** Ends the timer; the task does not run after it, on the control thread. Idempotent. */
  void cancel();
}
