package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.submission.Progress;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;

/**
 * All that one owner decides: it takes submissions, places their tasks, follows their runs and
 * answers for their state.
 *
 * <p>Invariants: no start before the submission is durable; no start on a worker before it has
 * answered under this owner's token; an end is acknowledged to a worker only once its effect is
 * durable; an end state is shown only once it is durable. Belongs to the control thread.
 */
public final class Cell {

  private static final String PART = "cell";

  /** More runs of one task than any owner orders: each is seconds long, an epoch some minutes. */
  private static final int MAX_RUNS_PER_EPOCH = 1_000;

  private final CellState state;
  private final RunBook runs;
  private final WorkerReports reports;
  private final WorkerBook workers;
  private final ReadySteps readySteps;
  private final Archive archive;
  private final Dispatcher dispatcher;
  private final UpcomingSteps upcomingSteps;
  private final LongWaitLogger longWaitLogger;
  private boolean rosterRestored;
  private final Map<String, ShareTokenBucket> shareBuckets = new HashMap<>();

  /**
   * Creates an empty cell.
   *
   * @param terms the figures to work with
   * @param output takes the orders
   * @param log takes the events
   * @param epoch the owner's epoch, from 1
   * @param now the owner's steady clock, in milliseconds
   */
  public Cell(CellTimings terms, CellOutput output, EventLog log, int epoch, long now) {
    this.state = new CellState(terms, output, log, epoch, now);
    this.runs = new RunBook(state);
    RunAdoption adoption = new RunAdoption(state, runs);
    this.reports =
        new WorkerReports(
            state, runs, new TaskEnds(state, runs), new Stragglers(state, runs), adoption);
    this.workers = new WorkerBook(state, runs, adoption);
    this.readySteps = new ReadySteps(state);
    this.archive = new Archive(state);
    this.upcomingSteps = new UpcomingSteps(state);
    this.dispatcher = new Dispatcher(state, runs, upcomingSteps);
    this.longWaitLogger = new LongWaitLogger(state);
  }

  /**
   * Takes the customers of a configuration.
   *
   * @param customers all customers
   */
  public void configure(Collection<CustomerLimits> customers) {
    state.usage.configure(customers);
    state.dirty = true;
  }

  /**
   * Takes a submission, or finds the one that is there.
   *
   * @param spec what the caller handed in
   * @param now the time
   * @return the submission, which may be acknowledged once it is durable; null if it has ended
   */
  public Submission accept(SubmissionSpec spec, long now) {
    Submission known = state.submissions.get(spec.id());
    if (known != null || state.endedSubmissions.containsKey(spec.id())) {
      return known;
    }
    Submission submission = new Submission(spec, state.nextSubmissionNumber(), now, 1);
    CustomerLimits customer = state.usage.limits(spec.customer());
    submission.exceedsShare =
        customer != null
            && !shareBuckets
                .computeIfAbsent(spec.customer(), name -> new ShareTokenBucket(now))
                .tryTake(customer.weight(), now);
    state.submissions.put(spec.id(), submission);
    state.reserve.recordPriority(spec.queue().service(), spec.queue().priority());
    state.recordChange(submission);
    upcomingSteps.addFirstSteps(submission);
    state.dirty = true;
    return submission;
  }

  /**
   * Takes a submission of an earlier owner.
   *
   * @param spec what the caller handed in
   * @param number the number under which that owner took it, or 0
   * @param progress what was written of it last
   * @param now the time
   * @param wallMillis the time of day, milliseconds since 1970
   */
  public void restore(
      SubmissionSpec spec, long number, Progress progress, long now, long wallMillis) {
    if (rosterRestored) {
      throw new IllegalStateException("the roster names runs of submissions restored before it");
    }
    // Numbers below the range of this epoch may have been used by a run that nobody knows of.
    int firstRun = MAX_RUNS_PER_EPOCH * (state.epoch - 1) + 1;
    long age = Math.max(0, wallMillis - spec.acceptedAtMillis());
    Submission submission = new Submission(spec, number, now - age, firstRun);
    submission.restore(progress);
    state.submissions.put(spec.id(), submission);
    state.reserve.recordPriority(spec.queue().service(), spec.queue().priority());
    state.stepsMayBeReady = true;
  }

  /**
   * Takes a submission of an earlier owner that has ended.
   *
   * @param id its id
   * @param past what is kept of it
   */
  public void restoreEnded(String id, EndedSubmission past) {
    state.endedSubmissions.put(id, past);
  }

  /**
   * Notes that a submission was written as it was at some version.
   *
   * @param submission the submission
   * @param version the version that was written
   */
  public void markDurable(Submission submission, long version) {
    if (!submission.durable) {
      submission.durable = true;
      state.stepsMayBeReady = true;
    }
    if (version == submission.version() && submission.state.terminal()) {
      submission.visibleState = submission.state;
    }
  }

  /**
   * Finds a submission.
   *
   * @param id its id
   * @return the submission, or null
   */
  public Submission find(String id) {
    return state.submissions.get(id);
  }

  /**
   * Explains where a submission stands, for operators.
   *
   * @param id its id
   * @param now the time
   * @return one line a step, or one that says that it is not known
   */
  public List<String> explain(String id, long now) {
    Submission submission = state.submissions.get(id);
    if (submission != null) {
      return new Explanation(state, submission, now).lines();
    }
    EndedSubmission past = state.endedSubmissions.get(id);
    return List.of(id + (past == null ? " is not known" : " has ended: " + past.state()));
  }

  /**
   * Returns how many submissions have not ended yet.
   *
   * @return the number
   */
  public int size() {
    return state.submissions.size();
  }

  /**
   * Tells what callers may know of a submission.
   *
   * @param id its id
   * @return the status, or null if there is none
   */
  public SubmissionStatus status(String id) {
    Submission submission = state.submissions.get(id);
    if (submission != null) {
      return new SubmissionStatus(
          submission.spec().customer(), submission.visibleState, submission.durable);
    }
    EndedSubmission past = state.endedSubmissions.get(id);
    return past == null ? null : new SubmissionStatus(past.customer(), past.state(), true);
  }

  /**
   * Cancels a submission, unless it has ended; to be acknowledged once it is durable.
   *
   * @param submission the submission
   * @param now the time
   */
  public void cancel(Submission submission, long now) {
    if (submission.isLive()) {
      submission.state = SubmissionState.CANCELLED;
      state.log.event(
          PART,
          "cancelled",
          "id",
          submission.spec().id(),
          "customer",
          submission.spec().customer());
      runs.stopAll(submission, now);
      state.recordChange(submission);
    }
  }

  /**
   * Counts a queue's accepted submissions of which no task has started.
   *
   * @param queue the queue's name
   * @return their number
   */
  public int countWaiting(String queue) {
    int waiting = 0;
    for (Submission submission : state.submissions.values()) {
      if (submission.durable
          && submission.state == SubmissionState.QUEUED
          && submission.spec().queue().name().equals(queue)) {
        waiting++;
      }
    }
    return waiting;
  }

  /**
   * Takes the roster that an earlier owner wrote, after all its submissions.
   *
   * @param entries the workers that may hold runs
   */
  public void restoreRoster(Collection<RosterEntry> entries) {
    rosterRestored = true;
    workers.restoreRoster(entries);
  }

  /**
   * Returns what may still run on the workers; for an owner that orders and renews nothing any
   * more.
   *
   * @param now the time
   * @return the workers on which something may run, with the time left of their leases
   */
  public List<RosterEntry> finalRoster(long now) {
    return workers.finalRoster(now);
  }

  /**
   * Takes the final roster of the owner before this one.
   *
   * @param entries the workers on which something of that owner may run; on no other does it
   * @param now the time
   */
  public void formerOwnerEnded(Collection<RosterEntry> entries, long now) {
    workers.formerOwnerEnded(entries, now);
  }

  /**
   * Takes the list of workers as the platform tells it.
   *
   * @param entries all listed workers, by id
   * @param now the time
   */
  public void workersListed(Map<String, WorkerEntry> entries, long now) {
    workers.listed(entries, now);
  }

  /**
   * Takes notice of workers that have left, so that nothing runs there any more.
   *
   * @param ids the workers
   * @param now the time
   */
  public void workersDeparted(Collection<String> ids, long now) {
    workers.departed(ids, now);
  }

  /**
   * Tells whether a worker is listed or may still hold runs.
   *
   * @param worker the worker
   * @return false once it is forgotten
   */
  public boolean isKnown(WorkerView worker) {
    return state.workers.get(worker.id()) == worker;
  }

  /**
   * Returns all workers that are listed or may still hold runs.
   *
   * @return a copy
   */
  public List<WorkerView> workers() {
    return new ArrayList<>(state.workers.values());
  }

  /**
   * Takes a worker's answer to a renewal.
   *
   * @param worker the worker
   * @param report the answer
   * @param sentAt when the renewal was sent
   * @param now the time
   */
  public void renewalAnswered(WorkerView worker, HoldReport report, long sentAt, long now) {
    if (isKnown(worker)) {
      reports.take(worker, report, sentAt, now);
    }
  }

  /**
   * Notes that a renewal had no answer in time.
   *
   * @param worker the worker
   * @param now the time
   */
  public void renewalUnanswered(WorkerView worker, long now) {
    workers.unanswered(worker, now);
  }

  /**
   * Takes the outcome of an order to start.
   *
   * @param run the run
   * @param outcome what became of the order
   * @param now the time
   */
  public void startAnswered(Run run, StartOutcome outcome, long now) {
    runs.startAnswered(run, outcome, now);
  }

  /**
   * Notes that a worker has taken an order to stop.
   *
   * @param worker the worker
   * @param run the run
   * @param now the time
   */
  public void stopAnswered(WorkerView worker, RunKey run, long now) {
    runs.stopAnswered(worker, run, now);
  }

  /**
   * Takes the advisor's answer.
   *
   * @param step the step
   * @param named the workers that were named
   * @param tickets the tickets of the suitable ones, by worker
   * @param validMillis how long the tickets are valid, in milliseconds
   * @param now the time
   */
  public void adviceAnswered(
      StepRun step,
      List<WorkerView> named,
      Map<String, String> tickets,
      long validMillis,
      long now) {
    dispatcher.adviceAnswered(step, named, tickets, validMillis, now);
  }

  /**
   * Notes that the advisor gave no answer.
   *
   * @param step the step
   * @param now the time
   */
  public void adviceFailed(StepRun step, long now) {
    dispatcher.adviceFailed(step, now);
  }

  /**
   * Tells whether a pass over the waiting steps may start something.
   *
   * @return true after a change
   */
  public boolean needsPass() {
    return state.dirty || state.stepsMayBeReady;
  }

  /**
   * Places what can be placed.
   *
   * @param now the time
   * @param wallMillis the time of day, milliseconds since 1970
   */
  public void pass(long now, long wallMillis) {
    if (state.stepsMayBeReady) {
      state.stepsMayBeReady = false;
      readySteps.addReadySteps(wallMillis);
    }
    state.dirty = false;
    dispatcher.pass(now);
  }

  /**
   * Does what is due by time alone.
   *
   * @param now the time
   * @param wallMillis the time of day, milliseconds since 1970
   */
  public void tick(long now, long wallMillis) {
    workers.tick(now);
    state.reserve.sample();
    runs.repeatStops(now);
    runs.breakUnconfirmedGangs(now);
    archive.tick(wallMillis);
    state.stepsMayBeReady |= readySteps.hasScheduledSubmissions();
    upcomingSteps.addUpcomingSteps(now);
    longWaitLogger.logLongWaits(now);
    state.dirty |= !state.readySteps.isEmpty() || !upcomingSteps.upcoming().isEmpty();
  }
}
