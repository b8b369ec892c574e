package org.hickorypier.daemon.owner;

import java.util.function.LongSupplier;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.time.PauseGuard;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.execution.WorkerClient;
import org.hickorypier.platform.store.StoreClient;

/**
 * What the owner's parts work with.
 *
 * <p>Immutable.
 *
 * @param store the platform's store
 * @param workers the workers
 * @param timers time, on the control thread
 * @param wall the time of day
 * @param pauses tells of suspensions
 * @param log takes the events
 * @param terms the figures of the cell
 * @param workerHeartbeatMillis how often a worker writes its entry in the list of workers
 */
public record Instruments(
    StoreClient store,
    WorkerClient workers,
    TimerService timers,
    LongSupplier wall,
    PauseGuard pauses,
    EventLog log,
    CellTimings terms,
    long workerHeartbeatMillis) {}
