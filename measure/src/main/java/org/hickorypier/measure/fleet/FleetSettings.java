package org.hickorypier.measure.fleet;

/**
 * The size of a fleet and the times of its daemons, in milliseconds.
 *
 * <p>Immutable.
 *
 * @param entries how many daemons
 * @param workerProcesses how many processes of workers
 * @param workersEach how many workers in each of them
 * @param leaseMillis the lease of a task on its worker
 * @param renewalMillis the time between two renewals
 * @param peerTimeoutMillis the silence after which a peer's link is closed
 * @param shutdownMillis how long a graceful shutdown may take
 */
public record FleetSettings(
    int entries,
    int workerProcesses,
    int workersEach,
    long leaseMillis,
    long renewalMillis,
    long peerTimeoutMillis,
    long shutdownMillis) {

  /**
   * Makes settings with short times, so that failures show within seconds.
   *
   * @param entries how many daemons
   * @param workerProcesses how many processes of workers
   * @param workersEach how many workers in each of them
   * @return the settings
   */
  public static FleetSettings quick(int entries, int workerProcesses, int workersEach) {
    return new FleetSettings(entries, workerProcesses, workersEach, 5_000, 1_000, 1_500, 10_000);
  }
}
