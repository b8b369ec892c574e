package org.hickorypier.core.cell;

import java.util.List;

/**
 * A worker's answer to a renewal of its lease.
 *
 * <p>Immutable.
 *
 * @param bornMillis start of the worker's present life, milliseconds since 1970
 * @param clockMillis the worker's steady clock, in milliseconds
 * @param running what is at work
 * @param ended what has ended and was not acknowledged yet, oldest first
 */
public record RenewalReport(
    long bornMillis, long clockMillis, List<RunningTask> running, List<EndedRun> ended) {}
