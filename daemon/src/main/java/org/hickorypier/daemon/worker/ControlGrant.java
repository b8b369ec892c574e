package org.hickorypier.daemon.worker;

import org.hickorypier.platform.worker.WorkerService;

/**
 * Our control of one worker at the moment it was asked for.
 *
 * <p>Immutable. It may be outdated at any time: only the worker's own check of the token counts.
 *
 * @param service the worker
 * @param token the control token that the worker granted us
 */
public record ControlGrant(WorkerService service, long token) {}
