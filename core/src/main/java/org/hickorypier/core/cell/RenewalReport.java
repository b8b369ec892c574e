package org.hickorypier.core.cell;

import java.util.List;

/**
 * A worker's answer to a renewal of its lease.
 *
 * <p>Immutable.
 *
 * @param bornMillis start of the worker's current incarnation, in milliseconds since 1970
 * @param clockMillis the worker's monotonic clock, in milliseconds
 * @param running the active runs
 * @param ended the runs that have ended and were not acknowledged yet, oldest first
 */
public record RenewalReport(
    long bornMillis, long clockMillis, List<RunningTask> running, List<EndedRun> ended) {}
