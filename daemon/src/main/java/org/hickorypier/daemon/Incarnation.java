package org.hickorypier.daemon;

/** One run of an instance. Safe to use from any thread. */
interface Incarnation extends AutoCloseable {

  /**
   * Starts everything, or nothing: no other instance hears of one that could not open its ports.
   *
   * @return where it listens
   * @throws DaemonStartException if a port cannot be opened
   */
  DaemonAddress start() throws DaemonStartException;

  /** Takes no new work, waits for requests in progress, then stops. Idempotent. */
  @Override
  void close();

  /** Refuses what waits, answers at once what it can, then stops. */
  void abandon();
}
