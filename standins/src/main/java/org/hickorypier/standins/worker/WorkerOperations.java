package org.hickorypier.standins.worker;

/** The names of a worker's calls in fault plans. */
public final class WorkerOperations {

  /** Asking for the status. */
  public static final String STATUS = "status";

  /** Claiming control. */
  public static final String CLAIM = "claim";

  /** Renewing leases. */
  public static final String RENEW = "renew";

  /** Starting a task. */
  public static final String START = "start";

  /** Asking after a task. */
  public static final String TASK = "task";

  /** Asking for an answer. */
  public static final String ANSWER = "answer";

  /** Stopping a task. */
  public static final String STOP = "stop";

  /** Throttling a task. */
  public static final String THROTTLE = "throttle";

  private WorkerOperations() {}
}
