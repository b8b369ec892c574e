package org.hickorypier.daemon.caller;

import org.hickorypier.core.model.Refusal;

/** A call is not taken, and nothing of it has run; its kind tells what that says of the request. */
public final class DeniedException extends Exception {

  private final DenialKind kind;
  private final long retryAfterMillis;

  /**
   * Creates the exception.
   *
   * @param kind why
   * @param message a sentence for the caller
   * @param retryAfterMillis when to come back, 0 if there is no use in it
   */
  public DeniedException(DenialKind kind, String message, long retryAfterMillis) {
    super(message);
    this.kind = kind;
    this.retryAfterMillis = retryAfterMillis;
  }

  /**
   * Turns a refusal of the decisions into one of this layer.
   *
   * @param refusal the refusal
   * @return the exception
   */
  public static DeniedException of(Refusal refusal) {
    return new DeniedException(
        DenialKind.of(refusal.reason()), refusal.detail(), refusal.retryAfterMillis());
  }

  /**
   * Returns why the request was not taken.
   *
   * @return the kind
   */
  public DenialKind kind() {
    return kind;
  }

  /**
   * Returns when to come back.
   *
   * @return milliseconds from now, 0 if there is no use in it
   */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }
}
