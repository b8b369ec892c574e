package org.hickorypier.core.cell.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.cell.EndedRun;
import org.hickorypier.core.cell.RenewalReport;
import org.hickorypier.core.cell.RunEnd;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.RunningTask;
import org.hickorypier.core.cell.StartOutcome;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.verification.ObservedRun;
import org.hickorypier.core.verification.PromiseChecker;

/** A worker as the platform's protocol describes it: fencing, leases, runs, ends, gangs. */
final class ModelWorker {

  static final long LONGEST_LEASE = 10_000;
  private static final long STOP_MILLIS = 300;
  private static final long GANG_MILLIS = 3_000;
  static final Resources CAPACITY = new Resources(16_000, 64_000, 0);

  final String id;
  private final String address;
  private final ModelTime time;
  private final PromiseChecker promises;
  private final Map<String, List<ModelRun>> gangs;
  private final double clockRate;
  private final Map<RunKey, ModelRun> runs = new LinkedHashMap<>();
  private final List<EndedRun> ended = new ArrayList<>();
  private final Map<TaskName, Integer> closed = new HashMap<>();
  private long bornAt;
  long born;
  private long token;
  private long lease;
  private long number;
  boolean up = true;
  private long downUntil;
  double failShare;

  /** So many times as long does what it begins take. */
  int slowness = 1;

  boolean draining;
  private long drainedAt;
  private boolean gone;

  ModelWorker(
      int number, ModelTime time, PromiseChecker promises, Map<String, List<ModelRun>> gangs) {
    this.id = "w" + number;
    this.address = "10.0.0." + (number + 1) + ":1";
    this.time = time;
    this.promises = promises;
    this.gangs = gangs;
    this.clockRate = 0.98 + time.random.nextDouble() * 0.02;
    this.born = time.now();
    this.bornAt = time.now();
  }

  WorkerEntry entry() {
    long remaining = draining ? Math.max(0, drainedAt - time.now()) : 0;
    return new WorkerEntry(
        id, "service", address, draining, remaining, CAPACITY, List.of("a", "r1"), born);
  }

  private long clock() {
    return (long) ((time.now() - bornAt) * clockRate);
  }

  StartOutcome start(long byToken, RunKey key, long deadline, StepSpec step, long workMillis) {
    expire();
    if (byToken < token) {
      return StartOutcome.FENCED;
    }
    token = byToken;
    lease = Math.max(lease, Math.min(deadline, clock() + LONGEST_LEASE));
    watchLease();
    if (runs.containsKey(key)) {
      return StartOutcome.STARTED;
    }
    if (key.number() <= closed.getOrDefault(key.task(), 0)) {
      return StartOutcome.OLD;
    }
    if (deadline < clock()) {
      return StartOutcome.LATE;
    }
    ModelRun run = new ModelRun(key, this, step.each(), step.flags().gang() ? step.count() : 1);
    runs.put(key, run);
    promises.started(run.observed());
    if (run.gangWidth == 1) {
      work(run, workMillis, step.flags().persistent());
    } else {
      joinGang(run, workMillis);
    }
    return StartOutcome.STARTED;
  }

  private void work(ModelRun run, long soundMillis, boolean lasts) {
    long workMillis = slowness * soundMillis;
    run.working = true;
    run.workFrom(time.now(), workMillis);
    boolean fails = time.chance(failShare);
    if (lasts && !fails) {
      return;
    }
    time.after(
        fails ? workMillis / 2 : workMillis, () -> end(run, fails ? RunEnd.FAILED : RunEnd.DONE));
  }

  private String gangOf(ModelRun run) {
    TaskName task = run.key.task();
    return task.submission() + "." + task.occurrence() + "." + task.step() + "." + run.key.number();
  }

  private void joinGang(ModelRun run, long workMillis) {
    List<ModelRun> gang = gangs.computeIfAbsent(gangOf(run), key -> new ArrayList<>());
    gang.add(run);
    if (gang.size() == run.gangWidth) {
      boolean fails = time.chance(failShare);
      gang.forEach(member -> member.working = true);
      gang.forEach(member -> member.workFrom(time.now(), workMillis));
      time.after(
          workMillis,
          () -> {
            if (fails) {
              end(run, RunEnd.FAILED);
            } else {
              for (ModelRun member : List.copyOf(gang)) {
                member.worker.end(member, RunEnd.DONE);
              }
            }
          });
    } else {
      time.after(
          GANG_MILLIS,
          () -> {
            if (!run.working) {
              end(run, RunEnd.ALONE);
            }
          });
    }
  }

  void end(ModelRun run, RunEnd how) {
    if (runs.get(run.key) != run || run.stopping && how != RunEnd.STOPPED && how != RunEnd.LAPSED) {
      return;
    }
    runs.remove(run.key);
    closed.merge(run.key.task(), run.key.number(), Math::max);
    ended.add(new EndedRun(++number, run.key, how, ""));
    promises.ended(run.observed(), how);
    breakGang(run, how);
  }

  private void breakGang(ModelRun run, RunEnd how) {
    if (run.gangWidth == 1 || how == RunEnd.DONE) {
      return;
    }
    List<ModelRun> gang = gangs.getOrDefault(gangOf(run), new ArrayList<>());
    gang.remove(run);
    for (ModelRun member : List.copyOf(gang)) {
      if (member.working) {
        member.worker.end(member, RunEnd.BROKEN);
      }
    }
  }

  boolean stop(long byToken, RunKey key) {
    expire();
    if (byToken < token) {
      return false;
    }
    token = byToken;
    closed.merge(key.task(), key.number(), Math::max);
    ModelRun run = runs.get(key);
    if (run != null && !run.stopping) {
      run.stopping = true;
      time.after(time.between(0, STOP_MILLIS), () -> end(run, RunEnd.STOPPED));
    }
    return true;
  }

  /** Returns the report, or null if the token is too low. */
  RenewalReport hold(long byToken, long deadline, long seen) {
    expire();
    if (byToken < token) {
      return null;
    }
    token = byToken;
    if (deadline >= 0) {
      lease = Math.max(lease, Math.min(deadline, clock() + LONGEST_LEASE));
      watchLease();
    }
    while (!ended.isEmpty() && ended.get(0).number() <= seen) {
      EndedRun forgotten = ended.remove(0);
      promises.noted(new ObservedRun(forgotten.run(), id, born), forgotten.how());
    }
    List<RunningTask> running = new ArrayList<>();
    for (ModelRun run : runs.values()) {
      running.add(new RunningTask(run.key, "", run.percent(time.now())));
    }
    return new RenewalReport(born, clock(), running, List.copyOf(ended));
  }

  boolean hasNews(long seen) {
    return !ended.isEmpty() && ended.get(ended.size() - 1).number() > seen;
  }

  private void watchLease() {
    long left = (long) ((lease - clock()) / clockRate) + 2;
    time.after(left, this::expire);
  }

  private void expire() {
    if (clock() > lease && !runs.isEmpty()) {
      promises.lapsed(id);
      for (ModelRun run : List.copyOf(runs.values())) {
        end(run, RunEnd.LAPSED);
      }
    } else if (clock() > lease) {
      promises.lapsed(id);
    }
  }

  /** Crashes; a second crash while it is down only makes it longer. */
  void crash(long millis) {
    downUntil = Math.max(downUntil, time.now() + millis);
    time.after(
        millis,
        () -> {
          if (!up && !gone && time.now() >= downUntil) {
            reborn();
          }
        });
    up = false;
    loseRuns();
  }

  /** Says that it takes no new tasks and leaves after some time. */
  void drain(long millis) {
    draining = true;
    drainedAt = time.now() + millis;
  }

  /** Exits for good, with everything on it. */
  void leave() {
    gone = true;
    up = false;
    loseRuns();
  }

  private void loseRuns() {
    for (ModelRun run : List.copyOf(runs.values())) {
      runs.remove(run.key);
      promises.ended(run.observed(), RunEnd.LAPSED);
      breakGang(run, RunEnd.LAPSED);
    }
  }

  void reborn() {
    up = true;
    born = time.now();
    bornAt = time.now();
    ended.clear();
    closed.clear();
    token = 0;
    lease = 0;
    number = 0;
  }
}
