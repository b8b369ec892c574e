package org.hickorypier.core.cell;

/** Outcome of an order to start a run. */
public enum StartOutcome {
  /** The worker has the run. */
  STARTED,
  /** The worker has seen a higher fencing token, so this owner has a successor. */
  FENCED,
  /** The worker knows this run, or a later run of the task, as ended or stopped. */
  OLD,
  /** The order's deadline had passed on the worker's clock. */
  LATE,
  /** The worker lacks the resources for the run. */
  NO_ROOM,
  /** The advisor's ticket is missing, expired, or for another incarnation of the worker. */
  NO_TICKET,
  /** The worker did not understand the order. */
  REJECTED,
  /** The worker is unhealthy and has not started the run. */
  UNHEALTHY,
  /** Another worker, or another incarnation, answers at the address; the run was not started. */
  OTHER_LIFE,
  /** No answer arrived; the order may have been, or may still be, carried out. */
  UNKNOWN,
  /** The worker could not be connected to, so this copy of the order was not sent. */
  NOT_SENT
}
