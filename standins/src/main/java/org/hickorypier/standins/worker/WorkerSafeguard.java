package org.hickorypier.standins.worker;

/** What a worker enforces; a test can switch each off to see the failure that it prevents. */
public enum WorkerSafeguard {
  /** Orders with a lower control token are refused. */
  CONTROL_TOKEN,
  /** A repeated start with the same task id starts nothing. */
  TASK_ID,
  /** A start that does not fit beside the other tasks is refused. */
  ROOM
}
