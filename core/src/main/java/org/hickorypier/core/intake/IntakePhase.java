package org.hickorypier.core.intake;

/** What a connection is doing. */
public enum IntakePhase {
  /** No request has begun. */
  IDLE,

  /** A request has begun and is incomplete, so it has not run and may be refused. */
  RECEIVING,

  /** A complete request waits for its answer; the connection has to stay open. */
  WAITING
}
