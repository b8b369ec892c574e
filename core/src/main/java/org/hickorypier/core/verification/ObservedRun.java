package org.hickorypier.core.verification;

import org.hickorypier.core.cell.RunKey;

/**
 * A run as its worker saw it.
 *
 * <p>Immutable.
 *
 * @param key the run
 * @param worker the worker's id
 * @param workerStartMillis the start of the worker's life, milliseconds since 1970
 */
public record ObservedRun(RunKey key, String worker, long workerStartMillis) {}
