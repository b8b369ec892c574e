package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;

/**
 * Workers that carry out the orders of a {@link CellFixture}, some of which crash them. A worker
 * that has crashed is back under a new id, at the same address.
 */
final class FakeFleet {

  static final long TICK_MILLIS = 50;
  private static final long DOWN_MILLIS = 3_300;
  private static final long LISTED_AFTER_CRASH_MILLIS = 4_500;

  /** A run on a worker. */
  private static final class Present {
    private final RunKey key;
    private final long startedAt;
    private final boolean persistent;
    private final boolean gang;

    private Present(RunKey key, long startedAt, StepRun step) {
      this.key = key;
      this.startedAt = startedAt;
      this.persistent = step.isPersistent();
      this.gang = step.isGang();
    }
  }

  /** A worker in one life; the id ends with the number of the life. */
  private static final class Life {
    private final WorkerEntry entry;
    private final Map<RunKey, Present> runs = new LinkedHashMap<>();
    private final List<EndedRun> ends = new ArrayList<>();
    private long lastEnd;
    private long downSince = -1;
    private long cutUntil;
    private boolean replaced;
    private boolean unlisted;

    private Life(WorkerEntry entry) {
      this.entry = entry;
    }
  }

  CellFixture owner;
  private final Map<String, Life> lives = new LinkedHashMap<>();
  private int deliveredStarts;

  /** The largest number of start orders that were in transit at the same time. */
  int mostOrdersInTransit;

  private int nextId;

  /** Tells which tasks crash the workers that start them. */
  Predicate<TaskName> crashing = task -> false;

  /** Tells which runs end as failed. */
  Predicate<RunKey> failing = run -> false;

  /** How long such a task runs before its worker crashes. */
  long crashAfterMillis;

  long workMillis = 600;

  /** How long each task runs. */
  ToLongFunction<TaskName> workMillisOf = task -> workMillis;

  /** Whether workers report how far their runs are; otherwise all seem to be halfway. */
  boolean reportsProgress;

  /** Total time of the runs that were done, over all workers and owners. */
  long doneMillis;

  /** Total time of the runs that were stopped before their end, over all workers and owners. */
  long stoppedMillis;

  /** Whether the store accepts writes. */
  boolean storeAvailable = true;

  /** Number of starts of each task, over all owners. */
  final Map<TaskName, Integer> starts = new HashMap<>();

  /** The state of each submission that a caller saw last. */
  final Map<String, SubmissionState> states = new HashMap<>();

  /** Number of workers that crashed, for whatever reason. */
  int crashCount;

  FakeFleet(CellFixture owner, int workers) {
    this.owner = owner;
    for (int index = 0; index < workers; index++) {
      addLife("10.0.0." + index + ":1");
    }
    listAll();
    advance(200);
  }

  private void addLife(String address) {
    String id = "w" + nextId++;
    lives.put(id, new Life(entry(id, address, owner.now, CellFixture.CAPACITY)));
  }

  static WorkerEntry entry(String id, String address, long bornMillis, Resources capacity) {
    return new WorkerEntry(
        id, "service", address, false, 0, capacity, List.of("a", "r1"), bornMillis);
  }

  Submission submit(SubmissionSpec spec) {
    states.put(spec.id(), SubmissionState.QUEUED);
    return owner.submit(spec);
  }

  /** Continues with another owner. */
  void takeOver(CellFixture successor) {
    owner = successor;
    deliveredStarts = 0;
    listAll();
  }

  private void listAll() {
    lives.values().stream().filter(life -> !life.unlisted).forEach(this::list);
  }

  private void list(Life life) {
    owner.listWorker(life.entry);
  }

  /** Crashes a worker for a reason of its own. */
  void crash(String id) {
    crash(lives.get(id));
  }

  private void crash(Life life) {
    if (life.downSince < 0) {
      crashCount++;
      life.downSince = owner.now;
      List<Present> lost = List.copyOf(life.runs.values());
      life.runs.clear();
      lost.stream().filter(run -> run.gang).forEach(this::breakGang);
    }
  }

  private void breakGang(Present lost) {
    for (Life other : lives.values()) {
      for (Present run : List.copyOf(other.runs.values())) {
        TaskName task = run.key.task();
        if (task.submission().equals(lost.key.task().submission())
            && task.step() == lost.key.task().step()
            && run.key.number() == lost.key.number()) {
          end(other, run, RunEnd.BROKEN);
        }
      }
    }
  }

  /** Cuts a worker off; it works on and is back in the same life. */
  void cutOff(String id, long millis) {
    lives.get(id).cutUntil = owner.now + millis;
  }

  /** Returns the ids of the workers that are up. */
  List<String> workersUp() {
    return lives.values().stream()
        .filter(life -> life.downSince < 0)
        .map(life -> life.entry.id())
        .toList();
  }

  /** Returns the worker that runs a task, or null. */
  String workerOf(TaskName task) {
    for (Life life : lives.values()) {
      for (RunKey key : life.runs.keySet()) {
        if (key.task().equals(task)) {
          return life.entry.id();
        }
      }
    }
    return null;
  }

  /** Returns the number of runs beside a task. */
  int runsBeside(TaskName task) {
    return lives.get(workerOf(task)).runs.size() - 1;
  }

  void advance(long millis) {
    long until = owner.now + millis;
    while (owner.now < until) {
      owner.advance(TICK_MILLIS);
      deliverStarts();
      List.copyOf(lives.values()).forEach(this::live);
      owner.cell.tick(owner.now, owner.now);
      if (storeAvailable) {
        owner.writePending();
      }
      owner.pass();
      states.replaceAll(this::stateNow);
    }
  }

  private SubmissionState stateNow(String id, SubmissionState before) {
    SubmissionStatus status = owner.cell.status(id);
    return status == null ? before : status.state();
  }

  private void deliverStarts() {
    mostOrdersInTransit = Math.max(mostOrdersInTransit, owner.starts.size() - deliveredStarts);
    while (deliveredStarts < owner.starts.size()) {
      Run run = owner.starts.get(deliveredStarts++).run();
      Life life = lives.get(run.worker().id());
      if (life == null || life.downSince >= 0 || life.cutUntil > owner.now) {
        owner.cell.startAnswered(run, StartAnswer.MISSING, owner.now);
        continue;
      }
      starts.merge(run.key().task(), 1, Integer::sum);
      life.runs.put(run.key(), new Present(run.key(), owner.now, run.task.step));
      owner.cell.startAnswered(run, StartAnswer.of(StartOutcome.STARTED), owner.now);
    }
  }

  private void live(Life life) {
    for (Present run : List.copyOf(life.runs.values())) {
      long age = owner.now - run.startedAt;
      if (failing.test(run.key)) {
        end(life, run, RunEnd.FAILED);
        continue;
      }
      if (crashing.test(run.key.task()) && age >= crashAfterMillis) {
        crash(life);
        break;
      }
      if (!run.persistent && age >= workMillisOf.applyAsLong(run.key.task())) {
        end(life, run, RunEnd.DONE);
      }
    }
    WorkerView view = view(life.entry.id());
    if (life.downSince >= 0) {
      replace(life);
    }
    if (view == null) {
      return;
    }
    if (life.downSince >= 0 || life.cutUntil > owner.now) {
      owner.cell.renewalUnanswered(view, owner.now);
      return;
    }
    for (RunKey stopped : owner.stops) {
      Present run = life.runs.get(stopped);
      if (run != null) {
        end(life, run, RunEnd.STOPPED);
      }
    }
    view.nextDeadline(owner.now, CellFixture.TIMINGS.leaseMillis());
    life.ends.removeIf(end -> end.number() <= view.acknowledgedEnd(owner.now));
    List<RunningTask> running =
        life.runs.values().stream().map(run -> new RunningTask(run.key, "", percent(run))).toList();
    owner.reportNow(view, life.entry.bornMillis(), running, List.copyOf(life.ends));
  }

  private int percent(Present run) {
    if (!reportsProgress) {
      return 50;
    }
    return (int) (100 * (owner.now - run.startedAt) / workMillisOf.applyAsLong(run.key.task()));
  }

  private void end(Life life, Present run, RunEnd how) {
    life.runs.remove(run.key);
    doneMillis += how == RunEnd.DONE ? owner.now - run.startedAt : 0;
    stoppedMillis += how == RunEnd.STOPPED ? owner.now - run.startedAt : 0;
    life.ends.add(new EndedRun(++life.lastEnd, run.key, how, ""));
  }

  private void replace(Life life) {
    long downMillis = owner.now - life.downSince;
    if (!life.replaced && downMillis >= DOWN_MILLIS) {
      life.replaced = true;
      addLife(life.entry.address());
      listAll();
    }
    if (!life.unlisted && downMillis >= LISTED_AFTER_CRASH_MILLIS) {
      life.unlisted = true;
      owner.unlistWorker(life.entry.id());
    }
  }

  private WorkerView view(String id) {
    return owner.cell.workers().stream()
        .filter(worker -> worker.id().equals(id))
        .findFirst()
        .orElse(null);
  }
}
