package org.hickorypier.daemon.front;

/**
 * What became of the callers of an instance that ends. Immutable.
 *
 * @param connections the connections that are open
 * @param open the requests that have no answer yet
 * @param read the requests that were begun since the instance was told to end
 * @param answered the requests that were answered since then
 * @param closedUnused the connections that were closed since then without a request on them
 * @param withoutOutcome the submissions since then whose callers were told that the outcome is
 *     unknown
 */
public record DrainReport(
    int connections, int open, long read, long answered, long closedUnused, long withoutOutcome) {

  /** Before the front listens. */
  public static final DrainReport NONE = new DrainReport(0, 0, 0, 0, 0, 0);
}
