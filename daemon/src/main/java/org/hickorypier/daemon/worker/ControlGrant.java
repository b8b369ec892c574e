package org.hickorypier.daemon.worker;

import org.hickorypier.platform.worker.WorkerService;

/**
 * This instance's control of one worker at the time of the query.
 *
 * <p>Immutable. It can be outdated at any time: only the worker's own check of the token decides.
 *
 * @param service the client of the worker
 * @param token the control token that the worker granted to this instance
 */
public record ControlGrant(WorkerService service, long token) {}
