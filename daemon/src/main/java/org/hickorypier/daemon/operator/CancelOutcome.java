package org.hickorypier.daemon.operator;

/** What became of an operator's wish to cancel work. */
public enum CancelOutcome {
  /** It is taken out of its queue, or its tasks are being stopped. */
  CANCELLED,
  /** It had ended before. */
  ENDED_BEFORE,
  /** No instance that answered knows it. */
  NOT_FOUND
}
