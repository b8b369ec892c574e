package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkerDescription;

/**
 * The free resources and the state of a worker at one time.
 *
 * <p>Immutable.
 *
 * @param worker the description of the worker
 * @param free the resources that are not reserved
 * @param freeSlots the slots that are not in use
 * @param state one of open, closed, quarantined and probing
 */
public record WorkerSnapshot(
    WorkerDescription worker, Resources free, int freeSlots, String state) {}
