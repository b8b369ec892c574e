package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.AdviceTerms;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;

/** A cell whose orders are collected, with a journal that the test lets through by hand. */
final class CellFixture implements CellOutput {

  static final CellTerms TERMS = CellTerms.of(10_000, 3_000, 60_000);
  static final Resources CAPACITY = new Resources(16_000, 64_000, 0);
  static final QueueTerms QUEUE =
      new QueueTerms("queue", "service", 0, 2, 2, 1_000, Optional.empty());
  static final QueueTerms ADVISED =
      new QueueTerms(
          "advised", "service", 0, 2, 2, 1_000, Optional.of(new AdviceTerms(100, 1, 2_500)));

  /** An order to start. */
  record Started(Run run, long deadline, String ticket) {}

  /** A question to the advisor. */
  record Asked(StepRun step, List<WorkerView> workers) {}

  final List<Started> starts = new ArrayList<>();
  final List<RunKey> stops = new ArrayList<>();
  final List<Asked> questions = new ArrayList<>();
  final List<Submission> saved = new ArrayList<>();
  List<RosterEntry> roster = List.of();
  private List<RosterEntry> unwrittenRoster = List.of();
  private final List<Runnable> afterSave = new ArrayList<>();
  private final Map<String, WorkerEntry> entries = new HashMap<>();
  final Cell cell;
  boolean advisorFree = true;
  long now = 1_000;
  private long clock = 500;

  CellFixture(int epoch) {
    cell = new Cell(TERMS, this, (part, event, fields) -> {}, epoch, now);
    cell.configure(List.of());
  }

  /** Takes the cell over at this moment with what is written, as a successor. */
  CellFixture successor(int epoch, String... submissions) {
    CellFixture successor = new CellFixture(epoch);
    for (String id : submissions) {
      Submission taken = cell.find(id);
      successor.cell.restore(
          taken.spec(), taken.number(), taken.progress(), successor.now, successor.now);
    }
    successor.cell.restoreRoster(roster);
    return successor;
  }

  static StepSpec step(int count, long processors, long estimate, boolean gang) {
    return new StepSpec(
        count,
        new Resources(processors, 1_000, 0),
        estimate,
        List.of(),
        new StepFlags(gang, false, true, false, false, false),
        "",
        "",
        0,
        "",
        0,
        0);
  }

  /** A step of tasks that last. */
  static StepSpec lasting(int count) {
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

  static StepSpec stepAfter(int earlier, int count, long processors, long estimate) {
    return new StepSpec(
        count,
        new Resources(processors, 1_000, 0),
        estimate,
        List.of(earlier),
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
    write();
    pass();
    return submission;
  }

  /** Lists a worker, hears it, and writes the roster. */
  WorkerView worker(String id) {
    list(id, 1);
    WorkerView worker = view(id);
    hear(worker);
    cell.tick(now, now);
    write();
    return worker;
  }

  void list(String id, long born) {
    list(id, born, false);
  }

  void list(String id, long born, boolean draining) {
    entries.put(
        id,
        new WorkerEntry(
            id, "service", "10.0.0.1:1", draining, 0, CAPACITY, List.of("a", "r1"), born));
    cell.listed(entries, now);
  }

  void unlist(String id) {
    entries.remove(id);
    cell.listed(entries, now);
  }

  WorkerView view(String id) {
    return cell.workers().stream().filter(next -> next.id().equals(id)).findFirst().orElseThrow();
  }

  void hear(WorkerView worker, EndedRun... ends) {
    hear(worker, worker.bornMillis, List.of(), ends);
  }

  void hear(WorkerView worker, long born, List<RunKey> running, EndedRun... ends) {
    List<RunningTask> tasks =
        running.stream().map(run -> new RunningTask(run, "checkpoint", 10)).toList();
    long sentAt = now;
    advance(5);
    cell.held(worker, new RenewalReport(born, clock, tasks, List.of(ends)), sentAt, now);
  }

  /** Lets a worker tell how far a run is. */
  void progress(WorkerView worker, RunningTask running) {
    long sentAt = now;
    advance(5);
    cell.held(
        worker,
        new RenewalReport(worker.bornMillis, clock, List.of(running), List.of()),
        sentAt,
        now);
  }

  void advance(long millis) {
    now += millis;
    clock += millis;
  }

  void pass() {
    cell.pass(now, now);
  }

  /** Lets the journal write what is saved so far. */
  void write() {
    final List<Submission> written = new ArrayList<>(saved);
    final List<Runnable> actions = new ArrayList<>(afterSave);
    saved.clear();
    afterSave.clear();
    roster = unwrittenRoster;
    written.forEach(next -> cell.durable(next, next.version()));
    actions.forEach(Runnable::run);
  }

  void confirmAll() {
    for (Started started : List.copyOf(starts)) {
      cell.startAnswered(started.run(), StartOutcome.STARTED, now);
    }
  }

  @Override
  public void start(Run run, long deadline, String ticket) {
    starts.add(new Started(run, deadline, ticket));
  }

  @Override
  public void stop(WorkerView worker, RunKey run) {
    stops.add(run);
  }

  @Override
  public boolean advise(StepRun step, List<WorkerView> workers) {
    if (advisorFree) {
      questions.add(new Asked(step, workers));
    }
    return advisorFree;
  }

  @Override
  public void save(Submission submission) {
    saved.add(submission);
  }

  @Override
  public void drop(String id) {
    // Tests of the journal look at this; those of the cell do not.
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
  public void saveRoster(List<RosterEntry> written, Runnable action) {
    unwrittenRoster = written;
    afterSave.add(action);
  }
}
