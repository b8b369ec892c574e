package org.hickorypier.core.cell;

import java.util.List;

/**
 * A worker's answer to a renewal of its lease.
 *
 * <p>Invariant: the list of active runs is whole; that of the ends may be the first of several
 * pages, as {@link #coverage} tells. Immutable.
 *
 * @param bornMillis start of the worker's current incarnation, in milliseconds since 1970
 * @param clockMillis the worker's monotonic clock, in milliseconds
 * @param running the active runs
 * @param ended the runs that have ended and were not acknowledged yet, oldest first, at most {@link
 *     #MAX_ENDS}
 */
public record RenewalReport(
    long bornMillis, long clockMillis, List<RunningTask> running, List<EndedRun> ended) {

  /** Maximum number of ends in one report. */
  static final int MAX_ENDS = 500;

  /** Returns whether the report lists all ends, or there may be more of them. */
  ReportCoverage coverage() {
    return ended.size() < MAX_ENDS ? ReportCoverage.COMPLETE : ReportCoverage.FURTHER_ENDS;
  }
}
