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
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionCodec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.wire.UndecodableException;

/** What the parts of a cell share. Belongs to the control thread. */
final class CellState {

  private static final String RUN_PART = "run";

  /** More submissions than any owner takes; so numbers rise from one owner to the next. */
  private static final long NUMBERS_PER_EPOCH = 1L << 32;

  final CellTerms terms;
  final CellOutput output;
  final EventLog log;
  final int epoch;
  private long lastNumber;
  final long takenOverAt;
  final CustomerUsage usage = new CustomerUsage();
  final RunDurationEstimator learned = new RunDurationEstimator();
  final WorkerKindSpeedEstimator speeds = new WorkerKindSpeedEstimator();
  final UrgentReserve reserve = new UrgentReserve();
  final Map<String, Submission> submissions = new HashMap<>();

  /** Submissions that have ended, while callers may ask for them. */
  final Map<String, EndedSubmission> ended = new HashMap<>();

  final Map<String, WorkerView> workers = new LinkedHashMap<>();

  /** Steps whose turn has come and that have tasks that wait. */
  final Set<StepRun> open = new LinkedHashSet<>();

  /** Something changed that may let a task start. */
  boolean dirty = true;

  /** A step has ended, so that others may begin. */
  boolean newlyDone = true;

  CellState(CellTerms terms, CellOutput output, EventLog log, int epoch, long now) {
    this.terms = terms;
    this.output = output;
    this.log = log;
    this.epoch = epoch;
    this.lastNumber = epoch * NUMBERS_PER_EPOCH;
    this.takenOverAt = now;
  }

  void changed(Submission submission) {
    submission.version++;
    output.save(submission);
  }

  /** Tells whether a worker may run what nobody has named. */
  boolean unresolved(WorkerView worker, long now) {
    return worker.runsUnknown && !worker.hasAnswered && now < worker.earlierLeasesEnd;
  }

  /** Returns for how long a worker that stays silent may go on running something. */
  long mayRunMillis(WorkerView worker, long now) {
    return Math.max(0, worker.leaseEnd() - now);
  }

  /** Tells whether a step is of the most urgent work of its service. */
  boolean urgent(StepRun step) {
    QueueTerms queue = step.submission.spec().queue();
    return reserve.urgent(queue.service(), queue.priority());
  }

  long nextNumber() {
    return ++lastNumber;
  }

  long lastNumber() {
    return lastNumber;
  }

  /**
   * Returns the number of the last submission of which a run may be at work that nobody knows of,
   * or less than any number if there is none.
   */
  long unresolvedUpTo(long now) {
    long last = -1;
    for (WorkerView worker : workers.values()) {
      if (unresolved(worker, now)) {
        last = Math.max(last, worker.isOpen() ? Long.MAX_VALUE : worker.closedAfter);
      }
    }
    return last;
  }

  /** Tells whether a submission has to wait, since a run of it may be at work unknown. */
  boolean waitsForWorkers(Submission submission, long unresolvedUpTo) {
    return submission.uncertain && submission.number() <= unresolvedUpTo;
  }

  Resources unresolvedRoom(long now) {
    Resources room = Resources.NONE;
    for (WorkerView worker : workers.values()) {
      if (unresolved(worker, now)) {
        room = room.plus(worker.entry().capacity());
      }
    }
    return room;
  }

  List<WorkerView> taking(String service, long now) {
    List<WorkerView> taking = new ArrayList<>();
    for (WorkerView worker : workers.values()) {
      if (worker.entry().service().equals(service) && worker.acceptsOrders(now)) {
        taking.add(worker);
      }
    }
    return taking;
  }

  /**
   * Returns what a task needs, also if its submission has ended: a run of it that is still on a
   * worker takes room there until it is stopped.
   */
  Resources sizeOf(TaskName task) {
    Submission submission = submissions.get(task.submission());
    if (submission != null) {
      Task known = submission.task(task);
      return known == null ? Resources.NONE : known.step.spec.reservedResources();
    }
    EndedSubmission past = ended.get(task.submission());
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
    EndedSubmission past = ended.get(id);
    return past == null ? "" : past.customer();
  }

  /** Tells of one run. */
  void runEvent(String event, RunKey run, WorkerView worker, Object... more) {
    Object[] named = {
      "id",
      run.task().submission(),
      "task",
      text(run.task()),
      "run",
      run.number(),
      "worker",
      worker.id()
    };
    log.event(RUN_PART, event, joined(named, more));
  }

  /** Tells of a submission. */
  void submissionEvent(String event, Submission submission, Object... more) {
    SubmissionSpec spec = submission.spec();
    Object[] named = {"id", spec.id(), "customer", spec.customer(), "queue", spec.queue().name()};
    log.event(RUN_PART, event, joined(named, more));
  }

  /** Tells of a worker. */
  void workerEvent(String event, WorkerView worker, Object... more) {
    log.event(RUN_PART, event, joined(new Object[] {"worker", worker.id()}, more));
  }

  private static Object[] joined(Object[] first, Object[] second) {
    Object[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }

  static String text(TaskName task) {
    return task.occurrence() + "." + task.step() + "." + task.index();
  }

  static <T> Collection<T> copy(Collection<T> values) {
    return new ArrayList<>(values);
  }
}
