package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.AdviceTerms;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionProgress;
import org.hickorypier.core.submission.SubmissionSpec;

/** A cell whose orders are recorded, and whose writes become durable when the test says so. */
final class CellFixture implements CellOutput {

  static final CellTimings TIMINGS = CellTimings.of(10_000, 3_000, 60_000);
  static final Resources CAPACITY = new Resources(16_000, 64_000, 0);
  static final QueueTerms QUEUE =
      new QueueTerms("queue", "service", 0, 2, 2, 1_000, Optional.empty());
  static final QueueTerms ADVISED =
      new QueueTerms(
          "advised", "service", 0, 2, 2, 1_000, Optional.of(new AdviceTerms(100, 1, 2_500)));

  private static final long FIRST_MILLIS = 1_000;

  /** A recorded start order. */
  record StartedRun(Run run, long deadline, String ticket) {}

  /** A recorded request to the advisor. */
  record AdviceRequest(StepRun step, List<WorkerView> workers) {}

  final List<StartedRun> starts = new ArrayList<>();
  final List<RunKey> stops = new ArrayList<>();
  final List<AdviceRequest> adviceRequests = new ArrayList<>();
  final List<Submission> saved = new ArrayList<>();
  final Map<String, byte[]> savedEnds = new HashMap<>();
  final Map<String, Map<String, Long>> savedEarlyCancellations = new HashMap<>();
  List<RosterEntry> roster = List.of();
  private List<RosterEntry> unwrittenRoster = List.of();
  private final List<Runnable> afterSave = new ArrayList<>();
  private final Map<String, WorkerEntry> entries = new HashMap<>();
  final Cell cell;

  /** What the store holds of each submission. */
  final Map<String, SubmissionProgress> durableProgress = new HashMap<>();

  int progressWrites;

  /** The events that were logged. */
  final List<String> events = new ArrayList<>();

  /** The records of worker speeds that were handed to the store. */
  final List<byte[]> savedSpeeds = new ArrayList<>();

  boolean advisorAvailable = true;

  /** The submission whose orders fail, or null. */
  String failingSubmission;

  /** The worker whose listing fails, or null. */
  String failingWorker;

  /** Whether the owner reads the worker list before each pass. */
  boolean listReadable = true;

  long now;
  private long workerClock = 500;

  CellFixture(int epoch) {
    this(epoch, FIRST_MILLIS);
  }

  CellFixture(int epoch, CellTimings timings) {
    this(epoch, FIRST_MILLIS, timings);
  }

  private CellFixture(int epoch, long now) {
    this(epoch, now, TIMINGS);
  }

  private CellFixture(int epoch, long now, CellTimings timings) {
    this.now = now;
    cell = new Cell(timings, this, this::record, epoch, now);
    cell.configure(List.of());
  }

  private void record(String part, String event, Object... fields) {
    if (event.equals("worker-listed") && fields[1].equals(failingWorker)) {
      throw new IllegalStateException("no listing of " + failingWorker);
    }
    events.add(now + " " + event + " " + Arrays.toString(fields));
  }

  /** Creates the cell of the next owner, restored from the current state and written roster. */
  CellFixture successor(int epoch, String... submissions) {
    CellFixture successor = new CellFixture(epoch);
    for (String id : submissions) {
      Submission restored = cell.find(id);
      successor.cell.restore(
          restored.spec(), restored.number(), restored.progress(), successor.now, successor.now);
    }
    successor.cell.restoreRoster(roster);
    return successor;
  }

  static StepSpec step(int count, long milliProcessors, long estimateMillis, boolean gang) {
    return new StepSpec(
        count,
        new Resources(milliProcessors, 1_000, 0),
        estimateMillis,
        List.of(),
        new StepFlags(gang, false, true, false, false, false),
        "",
        "",
        0,
        "",
        0,
        0);
  }

  /** Returns a step of persistent tasks. */
  static StepSpec persistentStep(int count) {
    return new StepSpec(
        count,
        new Resources(1_000, 1_000, 0),
        500,
        List.of(),
        new StepFlags(false, false, false, false, true, false),
        "",
        "",
        0,
        "",
        0,
        0);
  }

  static StepSpec stepAfter(int dependency, int count, long milliProcessors, long estimateMillis) {
    return new StepSpec(
        count,
        new Resources(milliProcessors, 1_000, 0),
        estimateMillis,
        List.of(dependency),
        StepFlags.NONE,
        "",
        "",
        0,
        "",
        0,
        0);
  }

  static SubmissionSpec spec(String id, QueueTerms queue, StepSpec... steps) {
    return new SubmissionSpec(id, "customer", queue, "text", List.of(steps), 0, 0, 0, 0);
  }

  Submission submit(SubmissionSpec spec) {
    Submission submission = cell.accept(spec, now);
    writePending();
    pass();
    return submission;
  }

  /** Creates the cell of the next owner, restored from what the store holds. */
  CellFixture successorFromStore(int epoch) {
    CellFixture successor = new CellFixture(epoch, now);
    successor.workerClock = workerClock;
    durableProgress.forEach(
        (id, progress) -> {
          Submission known = cell.find(id);
          if (known != null) {
            successor.cell.restore(known.spec(), known.number(), progress, now, now);
            successor.durableProgress.put(id, progress);
          }
        });
    successor.roster = roster;
    successor.unwrittenRoster = roster;
    successor.cell.restoreRoster(roster);
    return successor;
  }

  /** Lists a worker, lets it report, and writes the roster. */
  WorkerView addWorker(String id) {
    listWorker(id, 1);
    WorkerView worker = findWorker(id);
    reportFrom(worker);
    cell.tick(now, now);
    writePending();
    return worker;
  }

  void listWorker(String id, long bornMillis) {
    listWorker(id, bornMillis, false);
  }

  void listWorker(String id, long bornMillis, boolean draining) {
    entries.put(
        id,
        new WorkerEntry(
            id, "service", "10.0.0.1:1", draining, 0, CAPACITY, List.of("a", "r1"), bornMillis));
    cell.workersListed(entries, now);
  }

  void listWorker(WorkerEntry entry) {
    entries.put(entry.id(), entry);
    cell.workersListed(entries, now);
  }

  void unlistWorker(String id) {
    entries.remove(id);
    cell.workersListed(entries, now);
  }

  WorkerView findWorker(String id) {
    return cell.workers().stream().filter(next -> next.id().equals(id)).findFirst().orElseThrow();
  }

  void reportFrom(WorkerView worker, EndedRun... ends) {
    reportFrom(worker, worker.bornMillis(), List.of(), ends);
  }

  void reportFrom(WorkerView worker, long bornMillis, List<RunKey> running, EndedRun... ends) {
    List<RunningTask> tasks =
        running.stream().map(run -> new RunningTask(run, "checkpoint", 10)).toList();
    long sentAt = now;
    advance(5);
    cell.renewalAnswered(
        worker, new RenewalReport(bornMillis, workerClock, tasks, List.of(ends)), sentAt, now);
  }

  /** Lets a worker report without any time passing. */
  void reportNow(
      WorkerView worker, long bornMillis, List<RunningTask> running, List<EndedRun> ends) {
    cell.renewalAnswered(
        worker, new RenewalReport(bornMillis, workerClock, running, ends), now - 1, now);
  }

  /** Lets a worker report the progress of a run. */
  void reportProgress(WorkerView worker, RunningTask running) {
    long sentAt = now;
    advance(5);
    cell.renewalAnswered(
        worker,
        new RenewalReport(worker.bornMillis(), workerClock, List.of(running), List.of()),
        sentAt,
        now);
  }

  void advance(long millis) {
    now += millis;
    workerClock += millis;
  }

  void pass() {
    if (listReadable) {
      cell.workersListed(entries, now);
    }
    cell.pass(now, now, () -> true);
  }

  /**
   * Runs a pass that has to stop early.
   *
   * @return whether it is complete
   */
  boolean passInPart() {
    cell.workersListed(entries, now);
    return cell.pass(now, now, () -> false);
  }

  /** Makes everything that was saved so far durable. */
  void writePending() {
    final List<Submission> written = new ArrayList<>(saved);
    final List<Runnable> actions = new ArrayList<>(afterSave);
    saved.clear();
    afterSave.clear();
    roster = unwrittenRoster;
    for (Submission next : written) {
      durableProgress.put(next.spec().id(), next.progress());
      cell.markDurable(next, next.version());
      progressWrites++;
    }
    actions.forEach(Runnable::run);
  }

  void confirmAll() {
    for (StartedRun started : List.copyOf(starts)) {
      cell.startAnswered(started.run(), StartAnswer.of(StartOutcome.STARTED), now);
    }
  }

  /** Confirms all start orders, and those that follow once there is room for them. */
  void confirmAllInTurn() {
    int confirmed;
    do {
      confirmed = starts.size();
      confirmAll();
      pass();
    } while (starts.size() > confirmed);
  }

  @Override
  public void start(Run run, long deadline, String ticket) {
    failIfWanted(run.key());
    starts.add(new StartedRun(run, deadline, ticket));
  }

  @Override
  public void stop(WorkerView worker, RunKey run) {
    failIfWanted(run);
    stops.add(run);
  }

  private void failIfWanted(RunKey run) {
    if (run.task().submission().equals(failingSubmission)) {
      throw new IllegalStateException("no order for " + run);
    }
  }

  @Override
  public boolean advise(StepRun step, List<WorkerView> workers) {
    if (advisorAvailable) {
      adviceRequests.add(new AdviceRequest(step, workers));
    }
    return advisorAvailable;
  }

  @Override
  public void save(Submission submission) {
    saved.add(submission);
  }

  @Override
  public void saveEnded(String id, byte[] spec) {
    savedEnds.put(id, spec);
  }

  @Override
  public void drop(String id) {
    // The tests of the journal check deletions; the tests of the cell do not.
  }

  @Override
  public void saveEarlyCancellations(String id, Map<String, Long> cancelledAtMillis) {
    savedEarlyCancellations.put(id, cancelledAtMillis);
  }

  @Override
  public void afterSave(Runnable action) {
    if (saved.isEmpty()) {
      action.run();
    } else {
      afterSave.add(action);
    }
  }

  @Override
  public void saveSpeeds(byte[] record) {
    savedSpeeds.add(record);
  }

  @Override
  public void saveRoster(List<RosterEntry> written, Runnable action) {
    unwrittenRoster = written;
    afterSave.add(action);
  }
}
