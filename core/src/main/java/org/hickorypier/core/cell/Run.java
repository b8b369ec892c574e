package org.hickorypier.core.cell;

import org.hickorypier.core.model.Resources;

/**
 * One run of a task on a worker. It keeps its room there until the worker has said that it ended or
 * never came.
 *
 * <p>Belongs to the control thread.
 */
public final class Run {

  final RunKey key;
  final Task task;
  final WorkerView worker;
  final Resources size;
  final String customer;

  long orderedAt;
  long lastOrderAt;

  /** Time of the worker's confirmation; 0 while the order's fate is unknown. */
  long confirmedAt;

  /** The latest deadline of a copy of the order, on the worker's clock. */
  long orderDeadline;

  /** How many copies of the order were sent. */
  int orderCopies;

  String ticket;
  boolean stopping;
  long stopOrderedAt;
  long stopAnsweredAt;
  int percent = -1;

  /** It begins with restoring a checkpoint. */
  boolean resumed;

  /** How it gets on, once its worker has told of it; null before. */
  RunPace pace;

  Run(RunKey key, Task task, WorkerView worker, Resources size, String customer) {
    this.key = key;
    this.task = task;
    this.worker = worker;
    this.size = size;
    this.customer = customer;
  }

  /**
   * Names the run.
   *
   * @return its key
   */
  public RunKey key() {
    return key;
  }

  /**
   * Returns the worker that has it.
   *
   * @return the worker
   */
  public WorkerView worker() {
    return worker;
  }

  /**
   * Returns the submission that it belongs to.
   *
   * @return the submission, or null for a run that nobody knows
   */
  public Submission submission() {
    return task == null ? null : task.step.submission;
  }

  /**
   * Returns the checkpoint that it resumes from.
   *
   * @return the checkpoint, or empty
   */
  public String checkpoint() {
    return task == null ? "" : task.checkpoint;
  }

  boolean isConfirmed() {
    return confirmedAt > 0;
  }
}
