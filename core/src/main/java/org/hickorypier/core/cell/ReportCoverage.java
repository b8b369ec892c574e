package org.hickorypier.core.cell;

/**
 * What the reports of a worker's incarnation have told of its runs and ends. Every report lists all
 * active runs, but only the first page of the ends that were not acknowledged.
 *
 * <p>Invariant: only from {@link #COMPLETE} on is every run known that an earlier owner ordered
 * there, as active or by its end. Immutable.
 */
enum ReportCoverage {

  /** There was no report. */
  NONE,

  /** The active runs are known; further ends may be on later pages. */
  FURTHER_ENDS,

  /** The active runs and all ends are known. */
  COMPLETE;

  /**
   * Returns the coverage after a further report. It never decreases, since the worker accepts no
   * orders of earlier owners once it has reported.
   */
  ReportCoverage after(RenewalReport report) {
    ReportCoverage next = report.coverage();
    return next.compareTo(this) > 0 ? next : this;
  }
}
