package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.hickorypier.core.admission.AdmissionDecision;
import org.hickorypier.core.estimation.RunTimeEstimator;
import org.hickorypier.core.estimation.WorkerSpeed;
import org.hickorypier.core.submission.SubmissionProgress;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;

/**
 * The scheduling state of a cell at its owner: accepts submissions, places their tasks, tracks
 * their runs and reports their state.
 *
 * <p>Invariants: no run starts before its submission is durable; no run starts on a worker that has
 * not answered under this owner's fencing token; the end of a run is acknowledged to its worker
 * only once its effect is durable; an end state is visible only once it is durable; a cancellation
 * also holds for a submission that becomes durable or known after it. Confined to the control
 * thread.
 */
public final class Cell {

  private static final String PART = "cell";

  /** The decision on known submissions, and on all while nothing is refused. */
  private static final AdmissionDecision UNDECIDED =
      new AdmissionDecision(true, "", 0, AdmissionDecision.UNKNOWN, AdmissionDecision.UNKNOWN);

  /**
   * Exceeds the number of runs of one task that an owner orders: a run takes seconds, an epoch some
   * minutes.
   */
  private static final int MAX_RUNS_PER_EPOCH = 1_000;

  /**
   * Age of the worker list from which on nothing starts: meanwhile a worker's capacity may have
   * shrunk, or a worker may have begun to drain.
   */
  private static final long MAX_LIST_AGE_MILLIS = 3_000;

  private final CellState state;
  private final RunController runs;
  private final WorkerReportHandler reports;
  private final WorkerRegistry workers;
  private final ReadySteps readySteps;
  private final Archive archive;
  private final Dispatcher dispatcher;
  private final CrashTracker crashTracker;
  private final UpcomingSteps upcomingSteps;
  private final LongWaitLogger longWaitLogger;
  private final SpeedRecordWriter speedRecordWriter;
  private final AdmissionControl admission;
  private boolean rosterRestored;
  private boolean listOutOfDate;
  private final Map<String, ShareTokenBucket> shareBuckets = new HashMap<>();

  /**
   * Creates an empty cell.
   *
   * @param timings the time limits of the cell
   * @param output receives the orders
   * @param log receives the events
   * @param epoch the owner's epoch, from 1
   * @param now the owner's monotonic clock, in milliseconds
   */
  public Cell(CellTimings timings, CellOutput output, EventLog log, int epoch, long now) {
    this.state = new CellState(timings, output, log, epoch, now);
    this.runs = new RunController(state);
    this.crashTracker = new CrashTracker(state, runs);
    RunAdoption adoption = new RunAdoption(state, runs);
    this.reports =
        new WorkerReportHandler(
            state,
            runs,
            new RunEndHandler(state, runs, crashTracker),
            new StragglerDetector(state, runs),
            adoption,
            crashTracker);
    this.workers = new WorkerRegistry(state, runs, adoption, crashTracker);
    this.readySteps = new ReadySteps(state);
    this.archive = new Archive(state);
    this.upcomingSteps = new UpcomingSteps(state);
    this.dispatcher = new Dispatcher(state, runs, upcomingSteps, crashTracker);
    this.longWaitLogger = new LongWaitLogger(state);
    this.speedRecordWriter = new SpeedRecordWriter(state);
    this.admission = new AdmissionControl(state);
  }

  /**
   * Replaces the customers by those of a configuration.
   *
   * @param customers all customers
   */
  public void configure(Collection<CustomerLimits> customers) {
    state.usage.configure(customers);
    state.dirty = true;
  }

  /**
   * Sets the memory that the start orders in transit may take.
   *
   * @param bytes the limit, in bytes
   */
  public void limitOrders(long bytes) {
    state.orderWindow.setLimitBytes(bytes);
  }

  /**
   * Sets the memory that submissions may take, those that wait and those that have ended.
   *
   * @param bytes the limit, in bytes
   */
  public void limitSubmissions(long bytes) {
    state.memory.setLimitBytes(bytes);
  }

  /**
   * Tells whether a successor could still take the cell over with a further submission.
   *
   * @param spec the specification from the caller
   * @return false if the memory for submissions is used up
   */
  public boolean hasMemoryFor(SubmissionSpec spec) {
    return state.memory.hasRoomFor(spec);
  }

  /**
   * Accepts a submission unless it surely cannot be done while it is of use. One that the cell
   * knows, or that is cancelled already, is never refused.
   *
   * @param spec the specification from the caller
   * @param mayRefuse whether the cell knows all accepted submissions, so that a refusal is true
   * @param now the time
   * @return the decision; if the submission is accepted, {@link #find} returns it unless it has
   *     ended
   */
  public AdmissionDecision admit(SubmissionSpec spec, boolean mayRefuse, long now) {
    boolean known = status(spec.id()) != null || isCancelledEarly(spec);
    boolean decides = mayRefuse && !known && state.timings.decisions().admission();
    AdmissionDecision decision =
        decides ? admission.decide(spec, wouldExceedShare(spec, now), now) : UNDECIDED;
    if (decision.accepted()) {
      Submission submission = accept(spec, now);
      if (!known) {
        submission.estimateMillis = decision.estimateMillis();
      }
    }
    return decision;
  }

  private boolean wouldExceedShare(SubmissionSpec spec, long now) {
    CustomerLimits customer = state.usage.limits(spec.customer());
    ShareTokenBucket bucket = shareBuckets.get(spec.customer());
    return customer != null && bucket != null && !bucket.hasToken(customer.weight(), now);
  }

  /**
   * Accepts a submission, or returns the existing one with its id. One that is cancelled already is
   * accepted as cancelled.
   *
   * @param spec the specification from the caller
   * @param now the time
   * @return the submission, which may be acknowledged once it is durable; null if it has ended
   */
  public Submission accept(SubmissionSpec spec, long now) {
    Submission known = state.submissions.get(spec.id());
    if (known != null || state.endedSubmissions.containsKey(spec.id())) {
      return known;
    }
    Submission submission = new Submission(spec, state.nextSubmissionNumber(), now, 1);
    if (isCancelledEarly(spec)) {
      submission.state = SubmissionState.CANCELLED;
      state.submissions.put(spec.id(), submission);
      state.memory.add(submission);
      state.recordChange(submission);
      return submission;
    }
    CustomerLimits customer = state.usage.limits(spec.customer());
    submission.exceedsShare =
        customer != null
            && !shareBuckets
                .computeIfAbsent(spec.customer(), name -> new ShareTokenBucket(now))
                .tryTake(customer.weight(), now);
    state.submissions.put(spec.id(), submission);
    state.memory.add(submission);
    state.reserve.recordPriority(spec.queue().service(), spec.queue().priority());
    state.recordChange(submission);
    upcomingSteps.addFirstSteps(submission);
    state.dirty = true;
    return submission;
  }

  /**
   * Forgets a submission of which nothing was written, so that its caller can be refused.
   *
   * @param submission the submission
   * @throws IllegalStateException if it is durable
   */
  public void withdraw(Submission submission) {
    if (submission.durable) {
      throw new IllegalStateException("a durable submission cannot be withdrawn");
    }
    // Steps whose advice is under way are skipped from now on.
    submission.state = SubmissionState.CANCELLED;
    state.submissions.remove(submission.spec().id(), submission);
  }

  /**
   * Restores a submission of an earlier owner.
   *
   * @param spec the specification from the caller
   * @param number the sequence number that its owner assigned, or 0
   * @param progress the progress that was stored last
   * @param now the time
   * @param wallMillis the wall-clock time, milliseconds since 1970
   * @throws IllegalStateException if the roster was restored before
   */
  public void restore(
      SubmissionSpec spec, long number, SubmissionProgress progress, long now, long wallMillis) {
    if (rosterRestored) {
      throw new IllegalStateException("submissions must be restored before the roster");
    }
    // An unknown run of an earlier epoch may have used any number below the range of this epoch.
    int firstRunNumber = MAX_RUNS_PER_EPOCH * (state.epoch - 1) + 1;
    long age = Math.max(0, wallMillis - spec.acceptedAtMillis());
    Submission submission = new Submission(spec, number, now - age, firstRunNumber);
    submission.restore(progress, now);
    crashTracker.restore(submission);
    state.submissions.put(spec.id(), submission);
    state.memory.add(submission);
    if (isCancelledEarly(spec)) {
      cancel(submission, now);
    }
    state.reserve.recordPriority(spec.queue().service(), spec.queue().priority());
    state.stepsMayBeReady = true;
  }

  /**
   * Restores the early cancellations of an earlier owner, before its submissions.
   *
   * @param id the id that was cancelled
   * @param cancelledAtMillis their wall-clock times, milliseconds since 1970, by customer
   */
  public void restoreEarlyCancellations(String id, Map<String, Long> cancelledAtMillis) {
    state.earlyCancellations.restore(id, cancelledAtMillis);
  }

  /**
   * Restores an ended submission of an earlier owner.
   *
   * @param id its id
   * @param past its archived form
   */
  public void restoreEnded(String id, EndedSubmission past) {
    state.endedSubmissions.put(id, past);
    state.memory.add(past);
  }

  /**
   * Records that a version of a submission is durable.
   *
   * @param submission the submission
   * @param version the version that was written
   */
  public void markDurable(Submission submission, long version) {
    if (!submission.durable) {
      submission.durable = true;
      state.stepsMayBeReady = true;
    }
    if (version == submission.version() && submission.state.isTerminal()) {
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
   * Explains the state of a submission for operators.
   *
   * @param id its id
   * @param now the time
   * @return a line for the submission, one for each step and, until it ends, one for the estimated
   *     time; a single line if it is unknown or has ended
   */
  public List<String> explain(String id, long now) {
    Submission submission = state.submissions.get(id);
    if (submission != null) {
      List<String> lines = new Explanation(state, submission, now).lines();
      if (submission.isLive()) {
        lines.add(id + ": " + estimateLine(submission, now));
      }
      return lines;
    }
    EndedSubmission past = state.endedSubmissions.get(id);
    return List.of(id + (past == null ? " is not known" : " has ended: " + past.state()));
  }

  private String estimateLine(Submission submission, long now) {
    if (submission.state != SubmissionState.QUEUED) {
      return "estimated time not known: it has started";
    }
    long estimate = admission.estimateMillis(submission, now);
    return estimate == AdmissionDecision.UNKNOWN
        ? "estimated time not known"
        : "estimated to end in " + estimate + " ms at the earliest";
  }

  /**
   * Returns the number of submissions that are not archived.
   *
   * @return the number
   */
  public int size() {
    return state.submissions.size();
  }

  /**
   * Returns what callers may be told about a submission.
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
   * Cancels a submission unless it has ended. The caller acknowledges it once it is durable.
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
      runs.stopSubmission(submission, now);
      state.recordChange(submission);
    }
  }

  /**
   * Cancels a submission that is not durable, or not known to this owner: its request may still be
   * on its way. The caller acknowledges it once all that was saved is written.
   *
   * @param id the submission's id
   * @param customer the customer that cancels it
   * @param now the time
   * @param wallMillis the wall-clock time, milliseconds since 1970
   * @return false if too many such cancellations are kept, and nothing is cancelled
   */
  public boolean cancelEarly(String id, String customer, long now, long wallMillis) {
    if (!state.earlyCancellations.add(id, customer, wallMillis)) {
      return false;
    }
    state.saveEarlyCancellations(id);
    Submission submission = state.submissions.get(id);
    boolean known = submission != null && submission.spec().customer().equals(customer);
    state.log.event(PART, "cancelled-early", "id", id, "customer", customer, "known", known);
    if (known) {
      cancel(submission, now);
    }
    return true;
  }

  private boolean isCancelledEarly(SubmissionSpec spec) {
    return state.earlyCancellations.contains(spec.id(), spec.customer());
  }

  /**
   * Counts the durable submissions of a queue of which no task has started.
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
   * Restores an earlier owner's roster, after all its submissions.
   *
   * @param entries the workers that may hold runs of that owner
   */
  public void restoreRoster(Collection<RosterEntry> entries) {
    rosterRestored = true;
    workers.restoreRoster(entries);
  }

  /**
   * Restores the speeds of the workers from an earlier owner.
   *
   * @param speeds the speeds
   */
  public void restoreSpeeds(Collection<WorkerSpeed> speeds) {
    state.speedEstimator.restore(speeds);
    state.log.event(PART, "speeds-restored", "workers", speeds.size());
  }

  /**
   * Returns what may still run on the workers, for an owner that no longer orders starts or renews
   * leases.
   *
   * @param now the time
   * @return the workers that may hold runs, with the remaining time of their leases
   */
  public List<RosterEntry> finalRoster(long now) {
    return workers.finalRoster(now);
  }

  /**
   * Applies the final roster of the previous owner.
   *
   * @param entries the only workers that may hold runs of that owner
   * @param now the time
   */
  public void formerOwnerEnded(Collection<RosterEntry> entries, long now) {
    workers.applyFinalRoster(entries, now);
  }

  /**
   * Applies the worker list of the platform. If an entry cannot be applied, the others still are.
   *
   * @param entries all listed workers, by id
   * @param now the time
   * @throws IllegalStateException if an entry could not be applied
   */
  public void workersListed(Map<String, WorkerEntry> entries, long now) {
    workers.handleListed(entries, now);
  }

  /**
   * Applies a read of the operator's evacuations.
   *
   * @param reading the data centres that are being evacuated
   * @param now the time
   */
  public void evacuationsRead(EvacuationReading reading, long now) {
    if (state.evacuations.update(reading, now)) {
      for (WorkerView worker : state.workers.values()) {
        worker.evacuated = state.evacuations.includes(worker.entry().dataCentre());
      }
      dispatcher.withdrawReservations(worker -> worker.evacuated);
      state.dirty = true;
    }
  }

  /**
   * Records that workers have left the cell, so that none of their runs is active any more.
   *
   * @param ids the workers
   * @param now the time
   */
  public void workersDeparted(Collection<String> ids, long now) {
    workers.handleDepartures(ids, now);
  }

  /**
   * Tells whether a worker is listed or may still hold runs.
   *
   * @param worker the worker
   * @return false once it is removed
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
   * Returns the number of workers that are listed or may still hold runs.
   *
   * @return the number
   */
  public int workerCount() {
    return state.workers.size();
  }

  /**
   * Applies a worker's answer to a lease renewal.
   *
   * @param worker the worker
   * @param report the answer
   * @param sentAt when the renewal was sent
   * @param now the time
   */
  public void renewalAnswered(WorkerView worker, RenewalReport report, long sentAt, long now) {
    if (isKnown(worker)) {
      reports.handleReport(worker, report, sentAt, now);
    }
  }

  /**
   * Applies the ends in a worker's answer that arrived after it had counted as missing.
   *
   * @param worker the worker
   * @param report the answer
   * @param now the time
   */
  public void renewalAnsweredLate(WorkerView worker, RenewalReport report, long now) {
    if (isKnown(worker)) {
      reports.handleLateReport(worker, report, now);
    }
  }

  /**
   * Records that a lease renewal was not answered in time.
   *
   * @param worker the worker
   * @param now the time
   */
  public void renewalUnanswered(WorkerView worker, long now) {
    workers.handleMissingAnswer(worker, now);
  }

  /**
   * Applies the answer to a start order.
   *
   * @param run the run
   * @param answer the answer, or {@link StartAnswer#MISSING}
   * @param now the time
   */
  public void startAnswered(Run run, StartAnswer answer, long now) {
    runs.handleStartAnswer(run, answer, now);
  }

  /**
   * Records that a worker has confirmed a stop order.
   *
   * @param worker the worker
   * @param run the run
   * @param token the fencing token of the order
   * @param now the time
   */
  public void stopAnswered(WorkerView worker, RunKey run, long token, long now) {
    runs.handleStopAnswer(worker, run, token, now);
  }

  /**
   * Applies an answer of the advisor.
   *
   * @param step the step
   * @param named the workers named in the request
   * @param tickets the tickets of the suitable workers, by worker id
   * @param validMillis validity of the tickets, in milliseconds
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
   * Records that the advisor did not answer.
   *
   * @param step the step
   * @param now the time
   */
  public void adviceFailed(StepRun step, long now) {
    dispatcher.adviceFailed(step, now);
  }

  /**
   * Tells whether a scheduling pass may start a task.
   *
   * @return true after a change of state that may let a task start
   */
  public boolean needsPass() {
    return state.dirty || state.stepsMayBeReady;
  }

  /**
   * Runs a scheduling pass: places the waiting tasks that can start. A pass that is told to stop is
   * continued by the next one.
   *
   * @param now the time
   * @param wallMillis the wall-clock time, milliseconds since 1970
   * @param mayContinue asked between steps whether the pass may go on
   * @return whether the pass is complete
   */
  public boolean pass(long now, long wallMillis, BooleanSupplier mayContinue) {
    if (state.stepsMayBeReady) {
      state.stepsMayBeReady = false;
      readySteps.addReadySteps(wallMillis);
    }
    if (isListOutOfDate(now) || !state.evacuations.isUpToDate(now)) {
      return true;
    }
    state.dirty = false;
    boolean complete = dispatcher.pass(now, mayContinue);
    state.dirty |= !complete;
    return complete;
  }

  /**
   * Returns the number of steps that are ready and have waiting tasks.
   *
   * @return the number, as of the last pass
   */
  public int readySteps() {
    return state.readySteps.size();
  }

  /** Returns what is known of the run times of tasks, for tests. */
  RunTimeEstimator runTimes() {
    return state.durationEstimator;
  }

  private boolean isListOutOfDate(long now) {
    boolean outOfDate = now - state.listedAt > MAX_LIST_AGE_MILLIS;
    if (outOfDate != listOutOfDate) {
      listOutOfDate = outOfDate;
      state.log.event(
          PART,
          outOfDate ? "worker-list-stale" : "worker-list-read",
          "age_ms",
          now - state.listedAt);
    }
    return outOfDate;
  }

  /**
   * Performs the periodic work. If a part of it fails, the others are still performed.
   *
   * @param now the time
   * @param wallMillis the wall-clock time, milliseconds since 1970
   * @throws IllegalStateException if a part has failed
   */
  public void tick(long now, long wallMillis) {
    IndependentActions parts = new IndependentActions();
    parts.run("check of the workers", () -> workers.tick(now));
    parts.run("check of lost runs", () -> crashTracker.tick(now));
    parts.run("sample of the urgent work", state.reserve::sample);
    parts.run("sample of the memory", () -> state.memory.sample(now));
    parts.run("sample of the shares", () -> state.shares.sample(now));
    parts.run("resending of stops", () -> runs.resendStops(now));
    parts.run("stop of unconfirmed gangs", () -> runs.stopUnconfirmedGangs(now));
    parts.run("archive", () -> archive.tick(wallMillis));
    parts.run(
        "search for scheduled submissions",
        () -> state.stepsMayBeReady |= readySteps.hasScheduledSubmissions());
    parts.run("search for upcoming steps", () -> upcomingSteps.addUpcomingSteps(now));
    parts.run("log of long waits", () -> longWaitLogger.logLongWaits(now));
    parts.run("record of the moves", () -> state.saveOldMoves(now));
    parts.run("record of the speeds", () -> speedRecordWriter.tick(now));
    parts.run("report of the estimates' errors", () -> admission.tick(now));
    state.dirty |= !state.readySteps.isEmpty() || !upcomingSteps.upcoming().isEmpty();
    parts.throwIfFailed();
  }
}
