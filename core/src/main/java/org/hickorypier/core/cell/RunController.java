package org.hickorypier.core.cell;

import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.SubmissionState;

/**
 * Orders the start and stop of runs, and accounts for every run that may be active on a worker.
 *
 * <p>Invariant: a task has at most one run that may be active, unless the worker of the other run
 * has lost its lease or has restarted. Confined to the control thread.
 */
final class RunController {

  /**
   * Number of copies of a start order that are sent before the run is abandoned. An order without
   * an answer is resent at once, since it is idempotent.
   */
  private static final int MAX_ORDER_COPIES = 3;

  /**
   * Delay before a stop that has had no effect is sent again; several response times of a worker.
   */
  private static final long STOP_RETRY_MILLIS = 700;

  /**
   * Backoff for a worker that refuses for lack of room, so that it is asked again after its next
   * report.
   */
  private static final long NO_ROOM_BACKOFF_MILLIS = 300;

  /** Time for which a worker that answers that it is unhealthy gets no orders. */
  private static final long UNHEALTHY_BACKOFF_MILLIS = 1_000;

  private final CellState cell;

  RunController(CellState cell) {
    this.cell = cell;
  }

  void orderStart(Task task, WorkerView worker, int number, String ticket, long now) {
    Resources size = task.step.spec.reservedResources();
    String customer = task.step.submission.spec().customer();
    Run run = new Run(new RunKey(task.name(), number), task, worker, size, customer);
    run.orderedAt = now;
    run.resumed = !task.checkpoint.isEmpty();
    task.currentRun = run;
    task.lastRunNumber = number;
    task.crashUnit().isolationWantedAt = 0;
    occupy(run);
    cell.runEvent(
        "ordered",
        run.key,
        worker,
        "ticket",
        ticket != null,
        "left_milli_cores",
        worker.freeProcessors(),
        "speed",
        worker.placingFactor);
    sendStart(run, ticket, now);
  }

  private void sendStart(Run run, String ticket, long now) {
    run.orderCopies++;
    run.orderToken = run.worker.fencingToken();
    run.lastOrderAt = now;
    run.ticket = ticket;
    run.orderDeadline = run.worker.clockAt(now) + cell.timings.startOrderMillis();
    run.worker.recordGrant(run.orderDeadline, now);
    cell.orderWindow.recordOrder(run);
    try {
      cell.output.start(run, run.orderDeadline, ticket);
    } catch (RuntimeException error) {
      cell.orderWindow.recordAnswer(run);
      throw error;
    }
  }

  void handleStartAnswer(Run run, StartAnswer answer, long now) {
    cell.dirty |= cell.orderWindow.recordAnswer(run);
    if (run.worker.runs.get(run.key) != run) {
      return;
    }
    StartOutcome outcome = answer.outcome();
    boolean formerIncarnation = run.orderToken != run.worker.fencingToken();
    if (formerIncarnation && (outcome == StartOutcome.STARTED || outcome == StartOutcome.OLD)) {
      // The present incarnation may still carry out a copy; its report says whether it has the run.
      return;
    }
    if (outcome == StartOutcome.STARTED) {
      attribute(run, answer.clockMillis(), now);
      confirm(run, now);
      return;
    }
    cell.runEvent(
        "start-not-confirmed", run.key, run.worker, "outcome", outcome, "copies", run.orderCopies);
    switch (outcome) {
      case UNKNOWN -> handleMissingAnswer(run, now);
      case OLD -> {
        attribute(run, answer.clockMillis(), now);
        run.confirmedAt = now;
      }
      default -> handleRefusal(run, outcome, now);
    }
    cell.dirty = true;
  }

  /**
   * Finds out by the worker's clock whether the incarnation that the order was sent to has the run.
   * Each incarnation has a clock of its own.
   */
  private void attribute(Run run, long clockMillis, long now) {
    if (clockMillis == StartAnswer.NO_READING) {
      return;
    }
    long expectedMillis = run.orderDeadline - cell.timings.startOrderMillis();
    long earliest = expectedMillis - CellTimings.MAX_CLOCK_LAG_MILLIS;
    long latest = expectedMillis + now - run.lastOrderAt + CellTimings.MAX_READING_DELAY_MILLIS;
    if (earliest <= clockMillis && clockMillis <= latest) {
      run.clockConfirmed = true;
      return;
    }
    markUnanswered(run, now);
    cell.runEvent(
        "started-by-later-incarnation",
        run.key,
        run.worker,
        "clock_ms",
        clockMillis,
        "expected_clock_ms",
        expectedMillis);
  }

  /** Records that the incarnation that the order was sent to has not answered a copy of it. */
  private static void markUnanswered(Run run, long now) {
    run.unanswered = true;
    run.unansweredAt = now;
  }

  /** Records that the worker has the run. */
  void confirm(Run run, long now) {
    if (run.confirmedAt == 0) {
      run.confirmedAt = now;
    }
    Submission submission = run.submission();
    if (submission != null && submission.state == SubmissionState.QUEUED) {
      submission.state = SubmissionState.RUNNING;
      submission.visibleState = SubmissionState.RUNNING;
      cell.submissionEvent(
          "first-start",
          submission,
          "worker",
          run.worker.id(),
          "waited_ms",
          now - submission.acceptedAt);
    }
    if (run.stopping) {
      sendStop(run, now);
    }
  }

  private void handleMissingAnswer(Run run, long now) {
    markUnanswered(run, now);
    run.worker.unansweredOrders.put(run.key, now);
    if (run.stopping) {
      return;
    }
    if (run.orderCopies < MAX_ORDER_COPIES
        && run.worker.acceptsResentOrders(now)
        && cell.evacuations.isUpToDate(now)) {
      sendStart(run, run.ticket, now);
    } else {
      abandon(run, now);
    }
  }

  private void handleRefusal(Run run, StartOutcome outcome, long now) {
    WorkerView worker = run.worker;
    switch (outcome) {
      case NO_TICKET -> run.task.step.advice.invalidateTicket(worker);
      case UNHEALTHY, REJECTED, NOT_SENT ->
          worker.quarantinedUntil = now + UNHEALTHY_BACKOFF_MILLIS;
      default -> worker.fullUntil = now + NO_ROOM_BACKOFF_MILLIS;
    }
    if (run.orderCopies > 1) {
      // An earlier copy may still be in transit; its deadline or the answer to a stop resolves it.
      abandon(run, now);
      return;
    }
    removeRun(run, now);
  }

  /**
   * Stops a run that is no longer wanted, whether it is active or its start order is still in
   * transit.
   */
  void abandon(Run run, long now) {
    stop(run, now);
    if (run.task != null && run.task.step.isGang() && run.task.currentRun == run) {
      stopStep(run.task.step, now);
    }
  }

  /** Sends the first stop order; {@link #resendStops} sends the later ones. */
  void stop(Run run, long now) {
    if (!run.stopping) {
      run.stopping = true;
      sendStop(run, now);
    }
  }

  /** Stops a run that makes room for more urgent work. */
  void interrupt(Run run, long now) {
    run.interruptedAt = now;
    run.task.interruptedAt = now;
    stop(run, now);
  }

  private void sendStop(Run run, long now) {
    run.stopOrderedAt = now;
    cell.output.stop(run.worker, run.key);
  }

  /**
   * Handles the confirmation of a stop. One from a former incarnation says nothing of the present
   * one, which may still carry out a copy of the start order.
   */
  void handleStopAnswer(WorkerView worker, RunKey key, long token, long now) {
    if (token != worker.fencingToken()) {
      return;
    }
    worker.runsToRefuse.remove(key);
    Run run = worker.runs.get(key);
    // Only the first answer counts: otherwise each report would postpone the proof that the run is
    // gone.
    if (run != null && run.stopping && run.stopAnsweredAt == 0) {
      run.stopAnsweredAt = now;
    }
  }

  void resendStops(long now) {
    for (WorkerView worker : cell.workers.values()) {
      for (RunKey key : CellState.copy(worker.runsToRefuse)) {
        cell.output.stop(worker, key);
      }
      worker
          .unansweredOrders
          .values()
          .removeIf(sentAt -> now - sentAt > CellTimings.MAX_CALL_DELAY_MILLIS);
      for (Run run : worker.runs.values()) {
        if (run.stopping && !worker.silent && now - run.stopOrderedAt > STOP_RETRY_MILLIS) {
          sendStop(run, now);
        }
      }
    }
  }

  /** Stops all runs of a submission that has reached an end state. */
  void stopSubmission(Submission submission, long now) {
    for (StepRun[] steps : submission.occurrences) {
      for (StepRun step : steps) {
        cell.readySteps.remove(step);
        cell.reservations.release(step);
        step.preemption = null;
        stopStep(step, now);
      }
    }
  }

  /** Stops all runs of a step; a gang with a missing member cannot make progress. */
  private void stopStep(StepRun step, long now) {
    for (Task task : step.tasks) {
      if (task.currentRun != null) {
        stop(task.currentRun, now);
      }
    }
  }

  void stopUnconfirmedGangs(long now) {
    long timeoutMillis = cell.timings.gangMillis() / 2;
    for (WorkerView worker : cell.workers.values()) {
      for (Run run : worker.runs.values()) {
        boolean overdue =
            !run.isConfirmed() && !run.stopping && now - run.orderedAt > timeoutMillis;
        if (overdue && run.task != null && run.task.step.isGang()) {
          stopStep(run.task.step, now);
        }
      }
    }
  }

  /** Reserves resources on the worker for the run and counts them as used by its customer. */
  void occupy(Run run) {
    run.worker.add(run);
    addUsage(run, 1);
  }

  /** Frees the resources of a run that is no longer active. */
  void release(Run run) {
    run.worker.remove(run);
    addUsage(run, -1);
  }

  private void addUsage(Run run, int sign) {
    cell.usage.add(run.customer, run.size, sign);
    if (run.task != null) {
      run.task.runsOnWorkers += sign;
      QueueTerms queue = run.task.step.submission.spec().queue();
      cell.reserve.addRunning(queue.service(), queue.priority(), sign * run.size.milliProcessors());
    }
  }

  /** Removes a run that is no longer active and for which no end was reported. */
  void removeRun(Run run, long now) {
    release(run);
    reopenTask(run, now);
  }

  /** Queues the task of a removed run for its next run. */
  void reopenTask(Run run, long now) {
    cell.dirty = true;
    Task task = run.task;
    if (task == null) {
      return;
    }
    boolean wasCurrent = task.currentRun == run;
    if (wasCurrent) {
      task.currentRun = null;
      task.waitingSince = now;
    }
    if (task.currentRun == null && task.step.submission.isLive() && !task.done) {
      cell.readySteps.add(task.step);
      if (wasCurrent && task.step.isGang()) {
        stopStep(task.step, now);
      }
    }
  }

  /**
   * Removes runs of a worker after every lease under which they may be active has expired.
   *
   * @param expired the runs
   */
  void handleLeaseExpiry(WorkerView worker, List<Run> expired, long now) {
    cell.workerEvent(
        "worker-lost",
        worker,
        "runs",
        expired.size(),
        "silent_ms",
        now - worker.silentSince,
        "lease_end_ago_ms",
        now - worker.leaseEnd());
    expired.forEach(run -> removeRun(run, now));
  }

  /**
   * Removes the runs of a worker that has left, but not those whose orders are in transit: a later
   * incarnation under the same id may carry them out.
   */
  void handleDeparture(WorkerView worker, long now) {
    cell.workerEvent("worker-left", worker, "runs", worker.runs.size());
    worker.departed = false;
    worker.runsUnknown = false;
    for (Run run : CellState.copy(worker.runs.values())) {
      if (!run.hasOrderInTransit()) {
        removeRun(run, now);
      }
    }
    worker.unansweredOrders.keySet().retainAll(worker.runs.keySet());
    worker.runsToRefuse.clear();
  }
}
