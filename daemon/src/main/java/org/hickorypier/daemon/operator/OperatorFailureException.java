package org.hickorypier.daemon.operator;

/** A statement that got no result. */
public final class OperatorFailureException extends Exception {

  private final OperatorFailureKind kind;

  /**
   * Creates the exception.
   *
   * @param kind what is known of the statement's fate
   * @param message one sentence for the operator
   */
  public OperatorFailureException(OperatorFailureKind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /**
   * Returns what is known of the statement's fate.
   *
   * @return the kind
   */
  public OperatorFailureKind kind() {
    return kind;
  }
}
