package org.hickorypier.daemon.caller;

import org.hickorypier.core.model.Refusal;

/**
 * Thrown if a call is denied. Nothing of this call has run; {@link DenialKind#outcome()} tells what
 * is known about the request as a whole.
 */
public final class DeniedException extends Exception {

  private final DenialKind kind;
  private final long retryAfterMillis;

  /**
   * Creates the exception.
   *
   * @param kind the reason for the denial
   * @param message a sentence for the caller
   * @param retryAfterMillis the delay before a retry in milliseconds, 0 if a retry is of no use
   */
  public DeniedException(DenialKind kind, String message, long retryAfterMillis) {
    super(message);
    this.kind = kind;
    this.retryAfterMillis = retryAfterMillis;
  }

  /**
   * Converts a refusal by the scheduler into a denial of the call.
   *
   * @param refusal the refusal
   * @return the exception
   */
  public static DeniedException of(Refusal refusal) {
    return new DeniedException(
        DenialKind.of(refusal.reason()), refusal.detail(), refusal.retryAfterMillis());
  }

  /**
   * Returns the reason for the denial.
   *
   * @return the kind of the denial
   */
  public DenialKind kind() {
    return kind;
  }

  /**
   * Returns the delay before a retry.
   *
   * @return the delay in milliseconds from now, 0 if a retry is of no use
   */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }
}
