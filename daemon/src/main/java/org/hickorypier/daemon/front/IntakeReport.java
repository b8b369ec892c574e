package org.hickorypier.daemon.front;

/**
 * What the callers of an instance hold. Immutable.
 *
 * @param connections the connections that are open, or whose request is not answered
 * @param heldBytes the memory for incomplete and unanswered requests, in bytes
 * @param refused the connections that were refused or closed since the start
 */
public record IntakeReport(int connections, long heldBytes, long refused) {

  /** The report of an instance without callers. */
  public static final IntakeReport NONE = new IntakeReport(0, 0, 0);
}
