package org.hickorypier.core.verification;

import org.hickorypier.core.cell.RunKey;

/**
 * A run as its worker observed it.
 *
 * <p>Immutable.
 *
 * @param key the key of the run
 * @param worker the worker's id
 * @param workerStartMillis the time at which the worker process started, in milliseconds since 1970
 */
public record ObservedRun(RunKey key, String worker, long workerStartMillis) {}
