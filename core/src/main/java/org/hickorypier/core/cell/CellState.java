package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.admission.EstimateErrors;
import org.hickorypier.core.estimation.RunTimeEstimator;
import org.hickorypier.core.estimation.WorkerSpeedEstimator;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionCodec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.wire.UndecodableException;

/** State that the components of a cell share. Confined to the control thread. */
final class CellState {

  private static final String RUN_PART = "run";

  /** Exceeds the submissions that an owner accepts, so numbers increase from owner to owner. */
  private static final long MAX_SUBMISSIONS_PER_EPOCH = 1L << 32;

  /**
   * Time after which moves are written even if their submission has no other change. An owner that
   * writes nothing else appends a proof of its ownership as often.
   */
  private static final long MAX_MOVE_DELAY_MILLIS = 1_000;

  final CellTimings timings;
  final CellOutput output;
  final EventLog log;
  final int epoch;
  final OwnerTokens ownerTokens;
  private long lastSubmissionNumber;
  final long takenOverAt;
  final CustomerUsage usage = new CustomerUsage();
  final RunTimeEstimator durationEstimator = new RunTimeEstimator();
  final WorkerSpeedEstimator speedEstimator;
  final SuitabilityEstimator suitabilityEstimator = new SuitabilityEstimator();
  final Reservations reservations = new Reservations();
  final OrderWindow orderWindow = new OrderWindow();
  final SubmissionMemory memory;
  final LimitHeadroom headroom = new LimitHeadroom(this);
  final UrgentReserve reserve = new UrgentReserve();
  final ShareSampler shares = new ShareSampler(this);
  final EstimateErrors estimateErrors = new EstimateErrors();
  final WorkerLosses workerLosses = new WorkerLosses();
  final Evacuations evacuations;
  final Map<String, Submission> submissions = new HashMap<>();

  /** Ended submissions in their archived form, by id, until their retention time is over. */
  final Map<String, EndedSubmission> endedSubmissions = new HashMap<>();

  final EarlyCancellations earlyCancellations = new EarlyCancellations();

  /** Submissions with moves that are not written yet, and since when. */
  private final Map<Submission, Long> unsavedMoves = new LinkedHashMap<>();

  final Map<String, WorkerView> workers = new LinkedHashMap<>();

  final RemovedWorkers removedWorkers = new RemovedWorkers();

  /** Steps that are due, have no unfinished dependencies, and have waiting tasks. */
  final Set<StepRun> readySteps = new LinkedHashSet<>();

  /** When the worker list was last read, on the owner's monotonic clock. */
  long listedAt;

  /** True after a change that may let a task start. */
  boolean dirty = true;

  /** True after a change, such as the end of a step, that may make other steps ready. */
  boolean stepsMayBeReady = true;

  CellState(CellTimings timings, CellOutput output, EventLog log, int epoch, long now) {
    this.timings = timings;
    this.speedEstimator = new WorkerSpeedEstimator(timings.decisions().workerSpeeds());
    this.output = output;
    this.log = log;
    this.epoch = epoch;
    this.ownerTokens = new OwnerTokens(epoch);
    this.lastSubmissionNumber = epoch * MAX_SUBMISSIONS_PER_EPOCH;
    this.takenOverAt = now;
    this.listedAt = now;
    this.memory = new SubmissionMemory(this);
    this.evacuations = new Evacuations(timings.evacuationReadAgeMillis(), log);
  }

  void recordChange(Submission submission) {
    submission.version++;
    unsavedMoves.remove(submission);
    output.save(submission);
  }

  void saveEarlyCancellations(String id) {
    output.saveEarlyCancellations(id, earlyCancellations.of(id));
  }

  /** Notes that what is known of the moves of a submission's tasks has changed. */
  void recordMoveChange(Submission submission, long now) {
    if (!submission.isLive()) {
      return;
    }
    submission.version++;
    unsavedMoves.putIfAbsent(submission, now);
  }

  /** Writes the moves that no other change of their submissions has carried for some time. */
  void saveOldMoves(long now) {
    boolean due =
        unsavedMoves.values().stream().anyMatch(since -> now - since >= MAX_MOVE_DELAY_MILLIS);
    if (due) {
      unsavedMoves.keySet().removeIf(submission -> !submission.isLive());
      unsavedMoves.keySet().forEach(output::save);
      unsavedMoves.clear();
    }
  }

  /**
   * Tells whether a worker may hold runs that this owner does not know: it has not answered under
   * this owner's token, and the leases of earlier owners may still be valid.
   */
  boolean mayHoldUnknownRuns(WorkerView worker, long now) {
    return worker.runsUnknown && !worker.hasAnswered && now < worker.unknownRunsEnd();
  }

  /**
   * Tells whether a worker that has answered may list ends on later pages of runs that this owner
   * does not know. They count for nothing once the lease of the worker has expired.
   */
  boolean mayHoldUnknownEnds(WorkerView worker, long now) {
    return worker.runsUnknown
        && worker.coverage == ReportCoverage.FURTHER_ENDS
        && (!worker.silent || now <= worker.leaseEnd());
  }

  /** Tells whether a worker may have runs, or ends of runs, that this owner does not know. */
  boolean isUnresolved(WorkerView worker, long now) {
    return mayHoldUnknownRuns(worker, now) || mayHoldUnknownEnds(worker, now);
  }

  /** Returns what may be done with a task, or a gang by its first member. */
  CrashVerdict crashVerdict(Task unit, long now) {
    return unit.crashes == null ? CrashVerdict.START : CrashPolicy.decide(unit, workerLosses, now);
  }

  /** Returns whether a step has waiting tasks that were not given up. */
  boolean hasTasksToStart(StepRun step, long now) {
    for (Task task : step.tasks) {
      if (task.isWaiting() && crashVerdict(task.crashUnit(), now) != CrashVerdict.GIVE_UP) {
        return true;
      }
    }
    return false;
  }

  /** Returns how long a worker that stays silent may keep its runs, in milliseconds. */
  long remainingLeaseMillis(WorkerView worker, long now) {
    return Math.max(0, worker.lastRunEnd(timings, now) - now);
  }

  /** Tells whether a step belongs to the most urgent priority of its service. */
  boolean isUrgent(StepRun step) {
    QueueTerms queue = step.submission.spec().queue();
    return reserve.isUrgent(queue.service(), queue.priority());
  }

  long nextSubmissionNumber() {
    return ++lastSubmissionNumber;
  }

  long lastSubmissionNumber() {
    return lastSubmissionNumber;
  }

  /**
   * Returns the number of the last submission that may have an unknown run, or an unknown end, on
   * some worker, or -1, which is below all numbers, if there is none.
   */
  long lastUnresolvedNumber(long now) {
    long last = -1;
    for (WorkerView worker : workers.values()) {
      if (isUnresolved(worker, now)) {
        last = Math.max(last, worker.isOpen() ? Long.MAX_VALUE : worker.closedAfter);
      }
    }
    return last;
  }

  /** Tells whether a submission must wait, since a worker may hold an unknown run or end of it. */
  boolean waitsForUnheardWorkers(Submission submission, long unresolvedUpTo) {
    return submission.mayHaveUnknownRuns && submission.number() <= unresolvedUpTo;
  }

  Resources unresolvedCapacity(long now) {
    Resources capacity = Resources.NONE;
    for (WorkerView worker : workers.values()) {
      if (mayHoldUnknownRuns(worker, now)) {
        capacity = capacity.plus(worker.entry().capacity().max(worker.rosterCapacity));
      }
    }
    return capacity;
  }

  List<WorkerView> acceptingWorkers(String service, long now) {
    List<WorkerView> accepting = usableWorkers(service, now);
    accepting.removeIf(worker -> !worker.acceptsOrders(now));
    return accepting;
  }

  /** Returns the workers that may get orders, with those reserved for one task. */
  List<WorkerView> usableWorkers(String service, long now) {
    List<WorkerView> usable = new ArrayList<>();
    for (WorkerView worker : workers.values()) {
      if (worker.entry().service().equals(service) && worker.isUsable(now)) {
        usable.add(worker);
      }
    }
    return usable;
  }

  int countListedWorkers() {
    int listed = 0;
    for (WorkerView worker : workers.values()) {
      listed += worker.listed ? 1 : 0;
    }
    return listed;
  }

  /**
   * Returns the resources of a task, also if its submission has ended: a run that is still on a
   * worker uses them until it is stopped.
   */
  Resources resourcesOf(TaskName task) {
    Submission submission = submissions.get(task.submission());
    if (submission != null) {
      Task known = submission.task(task);
      return known == null ? Resources.NONE : known.step.spec.reservedResources();
    }
    EndedSubmission past = endedSubmissions.get(task.submission());
    if (past == null) {
      return Resources.NONE;
    }
    try {
      List<StepSpec> steps = SubmissionCodec.decode(past.spec()).steps();
      return task.step() < steps.size()
          ? steps.get(task.step()).reservedResources()
          : Resources.NONE;
    } catch (UndecodableException error) {
      log.event("cell", "unreadable-record", "id", task.submission(), "error", error.getMessage());
      return Resources.NONE;
    }
  }

  String customerOf(String id) {
    Submission submission = submissions.get(id);
    if (submission != null) {
      return submission.spec().customer();
    }
    EndedSubmission past = endedSubmissions.get(id);
    return past == null ? "" : past.customer();
  }

  /** Logs an event of a run. */
  void runEvent(String event, RunKey run, WorkerView worker, Object... more) {
    Object[] named = {
      "id",
      run.task().submission(),
      "task",
      taskPath(run.task()),
      "run",
      run.number(),
      "worker",
      worker.id()
    };
    log.event(RUN_PART, event, concat(named, more));
  }

  /** Logs an event of a submission. */
  void submissionEvent(String event, Submission submission, Object... more) {
    SubmissionSpec spec = submission.spec();
    Object[] named = {"id", spec.id(), "customer", spec.customer(), "queue", spec.queue().name()};
    log.event(RUN_PART, event, concat(named, more));
  }

  /** Logs an event of a worker. */
  void workerEvent(String event, WorkerView worker, Object... more) {
    log.event(RUN_PART, event, concat(new Object[] {"worker", worker.id()}, more));
  }

  private static Object[] concat(Object[] first, Object[] second) {
    Object[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }

  static String taskPath(TaskName task) {
    return task.occurrence() + "." + task.step() + "." + task.index();
  }

  static <T> Collection<T> copy(Collection<T> values) {
    return new ArrayList<>(values);
  }
}
