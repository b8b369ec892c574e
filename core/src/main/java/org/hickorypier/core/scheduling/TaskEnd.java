package org.hickorypier.core.scheduling;

/** How a placed task ended, as far as scheduling distinguishes it. */
public enum TaskEnd {
  /** The task ran to its end. */
  COMPLETED,
  /** The task ran and failed, which counts against its worker and its work. */
  FAILED,
  /**
   * The task was stopped on request or with its item, which counts against neither worker nor work.
   */
  STOPPED,
  /** The worker of the task was lost, which counts against the worker. */
  LOST,
  /** The task certainly never started: the worker refused it or could not be reached. */
  NOT_STARTED
}
