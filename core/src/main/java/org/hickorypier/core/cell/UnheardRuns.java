package org.hickorypier.core.cell;

import java.util.List;

/**
 * Runs that may be active longer than the leases of the incarnation that their worker last answered
 * in, since their orders may have reached a later incarnation.
 *
 * <p>Immutable.
 *
 * @param runs the runs
 * @param leaseMillis how long after the writing of the roster they may be active, in milliseconds
 */
public record UnheardRuns(List<RunKey> runs, long leaseMillis) {

  /** No run. */
  public static final UnheardRuns NONE = new UnheardRuns(List.of(), 0);

  /** Copies the list, so that the record is immutable. */
  public UnheardRuns {
    runs = List.copyOf(runs);
  }

  /**
   * Returns the runs as of some time later.
   *
   * @param millis the elapsed time, in milliseconds
   * @return the same runs with the remaining time reduced, but not below 0
   */
  public UnheardRuns afterElapsed(long millis) {
    return new UnheardRuns(runs, Math.max(0, leaseMillis - millis));
  }
}
