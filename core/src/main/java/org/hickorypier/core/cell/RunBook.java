package org.hickorypier.core.cell;

import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.SubmissionState;

/**
 * Orders runs and stops, and keeps the account of what may be at work where.
 *
 * <p>Invariant: a task has at most one run that may be at work, unless the worker of the other has
 * lost its lease or its life. Belongs to the control thread.
 */
final class RunBook {

  /**
   * How long an order to start may be carried out, on the worker's clock. Orders without an answer
   * are carried out up to 12 s late; with this deadline such a one is refused, and a task of which
   * nothing is known is free again after 2 s.
   */
  static final long ORDER_MILLIS = 2_000;

  /** An order without an answer is sent again at once, so often; it is idempotent. */
  private static final int MOST_COPIES = 3;

  /** A stop without effect is ordered again after this time: several answer times of a worker. */
  private static final long STOP_AGAIN_MILLIS = 700;

  /** A worker that refuses for want of room is asked again after its next report. */
  private static final long FULL_MILLIS = 300;

  /** A worker that answers that it is unwell gets nothing for this time. */
  private static final long UNHEALTHY_MILLIS = 1_000;

  /** The platform's pages name 12 s as the longest time until a lost order is carried out. */
  private static final long LATEST_MILLIS = 13_000;

  private final CellState cell;

  RunBook(CellState cell) {
    this.cell = cell;
  }

  void order(Task task, WorkerView worker, int number, String ticket, long now) {
    Resources size = task.step.spec.reserved();
    String customer = task.step.submission.spec().customer();
    Run run = new Run(new RunKey(task.name(), number), task, worker, size, customer);
    run.orderedAt = now;
    run.resumed = !task.checkpoint.isEmpty();
    task.currentRun = run;
    task.lastRunNumber = number;
    occupy(run);
    cell.runEvent(
        "ordered",
        run.key,
        worker,
        "ticket",
        ticket != null,
        "left_milli_cores",
        worker.freeProcessors());
    send(run, ticket, now);
  }

  private void send(Run run, String ticket, long now) {
    run.copies++;
    run.lastOrderAt = now;
    run.ticket = ticket;
    run.orderDeadline = run.worker.clockAt(now) + ORDER_MILLIS;
    run.worker.highestDeadline = Math.max(run.worker.highestDeadline, run.orderDeadline);
    cell.output.start(run, run.orderDeadline, ticket);
  }

  void startAnswered(Run run, StartOutcome outcome, long now) {
    if (run.worker.runs.get(run.key) != run) {
      return;
    }
    if (outcome == StartOutcome.STARTED) {
      confirmed(run, now);
      return;
    }
    cell.runEvent(
        "start-not-confirmed", run.key, run.worker, "outcome", outcome, "copies", run.copies);
    switch (outcome) {
      case UNKNOWN -> unanswered(run, now);
      case OLD -> run.confirmedAt = now;
      default -> refused(run, outcome, now);
    }
    cell.dirty = true;
  }

  /** The worker has the run. */
  void confirmed(Run run, long now) {
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

  private void unanswered(Run run, long now) {
    run.worker.unanswered.put(run.key, now);
    if (run.stopping) {
      return;
    }
    if (run.copies < MOST_COPIES && run.worker.takesRepeats(now)) {
      send(run, run.ticket, now);
    } else {
      abandon(run, now);
    }
  }

  private void refused(Run run, StartOutcome outcome, long now) {
    WorkerView worker = run.worker;
    switch (outcome) {
      case NO_TICKET -> run.task.step.advice.invalidateTicket(worker);
      case UNHEALTHY, REJECTED -> worker.quarantinedUntil = now + UNHEALTHY_MILLIS;
      default -> worker.fullUntil = now + FULL_MILLIS;
    }
    if (run.copies > 1) {
      // An earlier copy may still be on its way. Its deadline, or the answer to a stop, settles it.
      abandon(run, now);
      return;
    }
    gone(run, now);
  }

  /** Stops a run that is not wanted any more, whether it is there or may still come. */
  void abandon(Run run, long now) {
    stop(run, now);
    if (run.task != null && run.task.step.isGang() && run.task.currentRun == run) {
      breakGang(run.task.step, now);
    }
  }

  /** Orders a stop, once; {@link #repeatStops} goes on with it. */
  void stop(Run run, long now) {
    if (!run.stopping) {
      run.stopping = true;
      sendStop(run, now);
    }
  }

  private void sendStop(Run run, long now) {
    run.stopOrderedAt = now;
    cell.output.stop(run.worker, run.key);
  }

  void stopAnswered(WorkerView worker, RunKey key, long now) {
    worker.refusals.remove(key);
    Run run = worker.runs.get(key);
    // The first answer counts: a later one would put off the proof by each report.
    if (run != null && run.stopping && run.stopAnsweredAt == 0) {
      run.stopAnsweredAt = now;
    }
  }

  void repeatStops(long now) {
    for (WorkerView worker : cell.workers.values()) {
      for (RunKey key : CellState.copy(worker.refusals)) {
        cell.output.stop(worker, key);
      }
      worker.unanswered.values().removeIf(sentAt -> now - sentAt > LATEST_MILLIS);
      for (Run run : worker.runs.values()) {
        if (run.stopping && !worker.silent && now - run.stopOrderedAt > STOP_AGAIN_MILLIS) {
          sendStop(run, now);
        }
      }
    }
  }

  /** Stops everything of a submission that has reached an end state. */
  void stopAll(Submission submission, long now) {
    for (StepRun[] steps : submission.occurrences) {
      for (StepRun step : steps) {
        cell.readySteps.remove(step);
        breakGang(step, now);
      }
    }
  }

  /** Stops all runs of a step; a gang of which one member is missing only burns time. */
  private void breakGang(StepRun step, long now) {
    for (Task task : step.tasks) {
      if (task.currentRun != null) {
        stop(task.currentRun, now);
      }
    }
  }

  void breakUnconfirmedGangs(long now) {
    long patience = cell.timings.gangMillis() / 2;
    for (WorkerView worker : cell.workers.values()) {
      for (Run run : worker.runs.values()) {
        boolean waits = !run.confirmed() && !run.stopping && now - run.orderedAt > patience;
        if (waits && run.task != null && run.task.step.isGang()) {
          breakGang(run.task.step, now);
        }
      }
    }
  }

  /** Begins to count a run. */
  void occupy(Run run) {
    run.worker.add(run);
    count(run, 1);
  }

  /** Ends to count a run that is not at work any more. */
  void release(Run run) {
    run.worker.remove(run);
    count(run, -1);
  }

  private void count(Run run, int sign) {
    cell.usage.add(run.customer, run.size, sign);
    if (run.task != null) {
      run.task.runsOnWorkers += sign;
      QueueTerms queue = run.task.step.submission.spec().queue();
      cell.reserve.addRunning(queue.service(), queue.priority(), sign * run.size.milliProcessors());
    }
  }

  /** A run is not at work any more, without an end of its own. */
  void gone(Run run, long now) {
    release(run);
    free(run, now);
  }

  /** Lets the task of a run that is gone wait for its next one. */
  void free(Run run, long now) {
    cell.dirty = true;
    Task task = run.task;
    if (task == null) {
      return;
    }
    boolean counted = task.currentRun == run;
    if (counted) {
      task.currentRun = null;
      task.waitingSince = now;
    }
    if (task.currentRun == null && task.step.submission.isLive() && !task.done) {
      cell.readySteps.add(task.step);
      if (counted && task.step.isGang()) {
        breakGang(task.step, now);
      }
    }
  }

  /** Every lease ever sent to the worker has expired: nothing that it had runs any more. */
  void leaseExpired(WorkerView worker, long now) {
    if (worker.runs.isEmpty()) {
      return;
    }
    cell.workerEvent(
        "worker-lost",
        worker,
        "runs",
        worker.runs.size(),
        "silent_ms",
        now - worker.silentSince,
        "lease_end_ago_ms",
        now - worker.leaseEnd());
    allGone(worker, now);
  }

  /** The worker has left, and with it all that it had, orders without an answer among them. */
  void workerLeft(WorkerView worker, long now) {
    cell.workerEvent("worker-left", worker, "runs", worker.runs.size());
    worker.departed = false;
    worker.runsUnknown = false;
    worker.unanswered.clear();
    worker.refusals.clear();
    allGone(worker, now);
  }

  private void allGone(WorkerView worker, long now) {
    for (Run run : CellState.copy(worker.runs.values())) {
      gone(run, now);
    }
  }
}
