package org.hickorypier.measure.takeover;

import java.util.concurrent.TimeUnit;

/**
 * One request of the load, and what its caller concluded.
 *
 * <p>Immutable.
 *
 * @param team the caller's team
 * @param requestId the caller's id
 * @param idempotent whether it may run again
 * @param ending what the caller concluded
 * @param startNanos when it was first asked
 * @param endNanos when the caller concluded
 * @param detail the last answers, in words
 */
record LoadEntry(
    String team,
    String requestId,
    boolean idempotent,
    Ending ending,
    long startNanos,
    long endNanos,
    String detail) {

  /** What a caller can conclude. */
  enum Ending {
    /** The whole answer came. */
    ANSWERED,
    /** Refused as not run. */
    NOT_RUN,
    /** Not idempotent, and the outcome is said to be unknown. */
    UNKNOWN,
    /** Another's answer or a part of one. */
    WRONG,
    /** Neither an answer nor a refusal. */
    LOST
  }

  /** Returns the key under which the workers record the work. */
  String workKey() {
    return team + "~" + requestId + "~0";
  }

  @Override
  public String toString() {
    long millis = TimeUnit.NANOSECONDS.toMillis(endNanos - startNanos);
    String kind = idempotent ? "idempotent " : "not idempotent ";
    return ending + " " + kind + workKey() + " after " + millis + " ms, " + detail;
  }
}
