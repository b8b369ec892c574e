package org.hickorypier.daemon.operator;

/** Why a statement got no result. */
public enum OperatorFailureKind {
  /** It was certainly not carried out; another instance may do it, or this one later. */
  NOT_DONE(503),
  /** It may have been carried out, or may still be. */
  UNKNOWN_FATE(504);

  private final int status;

  OperatorFailureKind(int status) {
    this.status = status;
  }

  int status() {
    return status;
  }
}
