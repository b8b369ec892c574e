package org.hickorypier.daemon.front;

/**
 * Counts of caller connections and requests while an instance drains. Immutable.
 *
 * @param connections the number of open connections
 * @param open the number of requests without an answer
 * @param read the number of requests whose head was read since the drain began
 * @param answered the number of requests answered since the drain began
 * @param closedUnused the number of idle connections closed since the drain began
 * @param withoutOutcome the number of submissions, since the drain began, that were answered with
 *     an unknown outcome
 */
public record DrainReport(
    int connections, int open, long read, long answered, long closedUnused, long withoutOutcome) {

  /** The report of an instance whose front does not listen yet. */
  public static final DrainReport NONE = new DrainReport(0, 0, 0, 0, 0, 0);
}
