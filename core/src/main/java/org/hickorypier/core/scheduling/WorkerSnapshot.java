package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkerDescription;

/**
 * A worker with what is free on it.
 *
 * <p>Immutable.
 *
 * @param worker the worker
 * @param free what is not reserved
 * @param freeSlots slots not reserved
 * @param state one word: open, closed, quarantined or probing
 */
public record WorkerSnapshot(
    WorkerDescription worker, Resources free, int freeSlots, String state) {}
