package org.hickorypier.core.cell;

import org.hickorypier.core.model.Resources;

/**
 * One run of a task on a worker. It occupies resources there until the worker has reported that it
 * ended or never arrived.
 *
 * <p>Confined to the control thread.
 */
public final class Run {

  final RunKey key;
  final Task task;
  final WorkerView worker;
  final Resources size;
  final String customer;

  /** The worker's start time when the run was ordered or adopted. */
  final long workerBornMillis;

  long orderedAt;
  long lastOrderAt;

  /** When the worker confirmed the run; 0 while it is unknown whether the order was carried out. */
  long confirmedAt;

  /** The latest deadline of all copies of the start order, on the worker's clock. */
  long orderDeadline;

  /** The fencing token of the last copy of the start order. */
  long orderToken;

  /** Number of copies of the start order that were sent. */
  int orderCopies;

  /** Number of these copies that are neither answered nor given up. */
  int ordersInTransit;

  String ticket;
  boolean stopping;
  long stopOrderedAt;
  long stopAnsweredAt;

  /** When it was stopped to make room for more urgent work; 0 if it was not. */
  long interruptedAt;

  /** Whether a report of the worker has listed the run, so that its incarnation is known. */
  boolean reported;

  /**
   * Whether a copy of the start order had no answer from the incarnation that it was sent to, so
   * that a later one may carry it out.
   */
  boolean unanswered;

  /** When the last such copy was given up; it may be carried out later. */
  long unansweredAt;

  /**
   * Whether the worker's clock in the answer to the order shows that the incarnation that it was
   * sent to has the run.
   */
  boolean clockConfirmed;

  /**
   * Until when a former owner expects the run on an incarnation that nobody has heard of, on the
   * owner's monotonic clock; 0 if it does not.
   */
  long unheardEnd;

  /** Whether the run counts as lost with its worker; it may be active all the same. */
  boolean lossCounted;

  int percent = -1;

  /** Whether the run starts by restoring a checkpoint. */
  boolean resumed;

  /** Whether the run was found to be long by itself, not because of its worker. */
  boolean longByItself;

  /** Pace of the run; null until its worker has reported progress. */
  RunPace pace;

  Run(RunKey key, Task task, WorkerView worker, Resources size, String customer) {
    this.key = key;
    this.task = task;
    this.worker = worker;
    this.workerBornMillis = worker.bornMillis();
    this.size = size;
    this.customer = customer;
  }

  /**
   * Returns the key of the run.
   *
   * @return the key
   */
  public RunKey key() {
    return key;
  }

  /**
   * Returns the worker to which the run was sent.
   *
   * @return the worker
   */
  public WorkerView worker() {
    return worker;
  }

  /**
   * Returns the submission that the run belongs to.
   *
   * @return the submission, or null if it is not known
   */
  public Submission submission() {
    return task == null ? null : task.step.submission;
  }

  /**
   * Returns the checkpoint from which the task resumes.
   *
   * @return the checkpoint, or an empty string if there is none
   */
  public String checkpoint() {
    return task == null ? "" : task.checkpoint;
  }

  /**
   * Returns whether the present order is the first one of the run, not a repetition.
   *
   * @return true until the order is sent again
   */
  public boolean isFirstOrder() {
    return orderCopies <= 1;
  }

  /**
   * Returns whether a later incarnation of the worker than the one that has answered may have it,
   * if there is one.
   */
  boolean mayHaveReachedLaterIncarnation() {
    return unanswered || !(reported || clockConfirmed);
  }

  /**
   * Returns whether a copy of the start order was in transit when the worker answered last, so that
   * an incarnation that nobody has heard of may have carried it out.
   */
  boolean hasOrderInTransit() {
    boolean givenUp =
        unanswered && unansweredAt + CellTimings.MAX_ANSWER_WAIT_MILLIS >= worker.lastAnswerAt;
    return givenUp || orderCopies > 0 && !isConfirmed();
  }

  boolean isConfirmed() {
    return confirmedAt > 0;
  }
}
