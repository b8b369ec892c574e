package org.hickorypier.daemon.owner;

import java.util.function.LongSupplier;
import org.hickorypier.core.cell.BurstDelay;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.time.DelayMonitor;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.execution.WorkerClient;
import org.hickorypier.platform.store.StoreClient;

/**
 * The services and settings that the components of the owner share.
 *
 * <p>Immutable.
 *
 * @param store the platform's store
 * @param workers the client for the workers
 * @param timers the monotonic clock and the timers of the control thread
 * @param wallClock the wall clock, in milliseconds
 * @param suspensionDetector detects suspensions of the process
 * @param delayMonitor tells whether the control thread may have left an answer unread
 * @param log receives the events
 * @param timings the parameters of the cell
 * @param workerHeartbeatMillis the interval at which a worker writes its entry in the list of
 *     workers
 * @param linkBytesPerSecond the bandwidth of this machine's link, in bytes per second
 * @param processors the cores of this machine, of which a part counts too
 * @param orderBytes the memory that start orders in transit may take, in bytes
 * @param submissionBytes the memory that submissions may take at the owner, in bytes
 */
public record OwnerDependencies(
    StoreClient store,
    WorkerClient workers,
    TimerService timers,
    LongSupplier wallClock,
    SuspensionDetector suspensionDetector,
    DelayMonitor delayMonitor,
    EventLog log,
    CellTimings timings,
    long workerHeartbeatMillis,
    double linkBytesPerSecond,
    double processors,
    long orderBytes,
    long submissionBytes) {

  /**
   * Returns how long a message may wait behind a burst of work on a machine. The other machines are
   * taken to be like this one.
   *
   * @return the time in milliseconds
   */
  public long burstDelayMillis() {
    return BurstDelay.millis(processors, linkBytesPerSecond);
  }
}
