package org.hickorypier.standins.fault;

/** Runs a task later, on real or on fake time. */
@FunctionalInterface
public interface Delays {

  /**
   * Runs a task once.
   *
   * @param millis the delay, at least 1
   * @param task what to run
   */
  void after(long millis, Runnable task);
}
