package org.hickorypier.core.scheduling;

/** How a placed task ended, as far as the decisions care. */
public enum TaskEnd {
  /** It ran to its end. */
  COMPLETED,
  /** It ran and failed; counts against its worker and its work. */
  FAILED,
  /** It was stopped by order or with its item; counts against nobody. */
  STOPPED,
  /** Its worker was lost; counts against the worker. */
  LOST,
  /** It certainly never started; the worker refused or could not be reached. */
  NOT_STARTED
}
