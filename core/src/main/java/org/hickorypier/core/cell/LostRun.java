package org.hickorypier.core.cell;

/**
 * A run that was lost with its worker, or may have been.
 *
 * <p>Immutable.
 *
 * @param number the number of the run
 * @param kind what is known of the loss
 * @param lostAt when the worker fell silent, on the owner's monotonic clock, in milliseconds
 * @param ranMillis for how long the run may have worked at most, in milliseconds
 * @param decibans how much the loss suggests that the task crashes its workers; see {@link
 *     CrashEvidence}
 * @param settled whether the worker is known, or after some time presumed, to have crashed; a
 *     worker that was only cut off is back in the same incarnation
 */
record LostRun(int number, Kind kind, long lostAt, long ranMillis, int decibans, boolean settled) {

  /** What is known of a loss. */
  enum Kind {

    /** Other work that could have crashed the worker ran there. */
    BESIDE_OTHERS,

    /** No other work that could have crashed the worker ran there. */
    ALONE,

    /** An earlier owner announced the run, and nothing more is known of it. */
    UNSEEN
  }

  /** Stands for a time that is not known. */
  static final long UNKNOWN_MILLIS = 60_000;

  /** The weight of a loss whose weight was not recorded: that of a run of unknown length. */
  static final int UNKNOWN_DECIBANS = 10;

  boolean isAlone() {
    return kind == Kind.ALONE;
  }

  boolean isSeen() {
    return kind != Kind.UNSEEN;
  }

  LostRun asSettled() {
    return new LostRun(number, kind, lostAt, ranMillis, decibans, true);
  }
}
