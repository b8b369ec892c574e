package org.hickorypier.core.cell;

import java.util.Map;
import org.hickorypier.core.model.Resources;

/**
 * Resources reserved for a step while the advisor is asked for new tickets, or while less urgent
 * runs are being stopped for it. Without the reservation, smaller tasks take the resources during
 * the call, and the tickets expire unused.
 *
 * <p>Immutable.
 *
 * @param resources the reserved resources by worker
 * @param until when the reservation expires, on the owner's monotonic clock, in milliseconds
 */
record StepReservation(Map<WorkerView, Resources> resources, long until) {}
