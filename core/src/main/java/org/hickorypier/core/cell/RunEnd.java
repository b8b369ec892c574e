package org.hickorypier.core.cell;

/** How a run ended, as reported by its worker. */
public enum RunEnd {
  /** The task is complete. */
  DONE,
  /** The run failed because of the task or the worker. */
  FAILED,
  /** The run was stopped by an order. */
  STOPPED,
  /** The worker's lease expired. */
  LAPSED,
  /** Another member of the gang ended, so this one was ended. */
  BROKEN,
  /** The other members of the gang did not start in time. */
  ALONE
}
