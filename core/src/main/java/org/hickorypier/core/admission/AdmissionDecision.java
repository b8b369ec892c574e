package org.hickorypier.core.admission;

/**
 * Whether a submission is accepted.
 *
 * <p>Immutable.
 *
 * @param accepted whether it is accepted
 * @param reason why it is refused; empty if it is accepted
 * @param retryAfterMillis when to come back, in whole seconds expressed in milliseconds; 0 if it is
 *     accepted
 * @param estimateMillis the least time until its end in milliseconds, or {@link #UNKNOWN}
 * @param limitMillis the time within which it is of use, in milliseconds
 */
public record AdmissionDecision(
    boolean accepted, String reason, long retryAfterMillis, long estimateMillis, long limitMillis) {

  /** Marks an estimate for which too little is known. */
  public static final long UNKNOWN = -1;

  static AdmissionDecision accept(long estimateMillis, long limitMillis) {
    return new AdmissionDecision(true, "", 0, estimateMillis, limitMillis);
  }

  /** Returns the same refusal with another time to come back. */
  AdmissionDecision withRetryAfter(long millis) {
    return new AdmissionDecision(accepted, reason, millis, estimateMillis, limitMillis);
  }
}
