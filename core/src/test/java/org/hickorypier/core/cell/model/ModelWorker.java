package org.hickorypier.core.cell.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
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
import org.hickorypier.core.verification.GuaranteeChecker;
import org.hickorypier.core.verification.ObservedRun;

/** A worker that implements the platform's protocol: fencing, leases, runs, ends and gangs. */
final class ModelWorker {

  static final long MAX_LEASE_MILLIS = 10_000;
  private static final long MAX_STOP_MILLIS = 300;
  private static final long MIN_CRASH_MILLIS = 2_000;
  private static final long MAX_CRASH_MILLIS = 6_000;
  private static final long GANG_TIMEOUT_MILLIS = 3_000;
  static final Resources CAPACITY = new Resources(16_000, 64_000, 0);

  final String id;
  private final String address;
  private final VirtualTime time;
  private final GuaranteeChecker promises;
  private final Map<String, List<ModelRun>> gangs;
  private final double clockRate;
  private final Map<RunKey, ModelRun> runs = new LinkedHashMap<>();
  private final List<EndedRun> ended = new ArrayList<>();
  private final Map<TaskName, Integer> closedRunNumbers = new HashMap<>();
  private long startedAtMillis;
  long incarnation;
  private long fencingToken;

  /** The highest token that former incarnations have seen. */
  private long formerToken;

  private long leaseEndMillis;
  private long lastEndNumber;
  boolean up = true;
  private long downUntilMillis;
  double failureShare;

  Resources capacity = CAPACITY;

  String dataCentre = "";

  /** Whether a task crashed the worker; its process ends and resets its connections. */
  boolean crashedUnderTask;

  /** Returns after how many milliseconds a task crashes its worker; -1 if it does not. */
  ToLongFunction<TaskName> crashDelay = task -> -1;

  /** Factor by which the duration of newly started work is multiplied. */
  int slowdownFactor = 1;

  boolean draining;
  private long drainEndMillis;
  private boolean left;

  ModelWorker(
      int index, VirtualTime time, GuaranteeChecker promises, Map<String, List<ModelRun>> gangs) {
    this.id = "w" + index;
    this.address = "10.0.0." + (index + 1) + ":1";
    this.time = time;
    this.promises = promises;
    this.gangs = gangs;
    this.clockRate = 0.98 + time.random.nextDouble() * 0.02;
    this.incarnation = time.nowMillis();
    this.startedAtMillis = time.nowMillis();
  }

  WorkerEntry entry() {
    long remaining = draining ? Math.max(0, drainEndMillis - time.nowMillis()) : 0;
    return new WorkerEntry(
            id, "service", address, draining, remaining, capacity, List.of("a", "r1"), incarnation)
        .in(dataCentre, 0);
  }

  long localClockMillis() {
    return (long) ((time.nowMillis() - startedAtMillis) * clockRate);
  }

  StartOutcome start(long callerToken, RunKey key, long deadline, StepSpec step, long workMillis) {
    expireLease();
    if (callerToken < fencingToken) {
      return StartOutcome.FENCED;
    }
    fencingToken = callerToken;
    leaseEndMillis =
        Math.max(leaseEndMillis, Math.min(deadline, localClockMillis() + MAX_LEASE_MILLIS));
    scheduleLeaseCheck();
    if (runs.containsKey(key)) {
      return StartOutcome.STARTED;
    }
    if (key.number() <= closedRunNumbers.getOrDefault(key.task(), 0)) {
      return StartOutcome.OLD;
    }
    if (deadline < localClockMillis()) {
      return StartOutcome.LATE;
    }
    ModelRun run =
        new ModelRun(key, this, step.taskResources(), step.flags().gang() ? step.count() : 1);
    runs.put(key, run);
    long crashDelayMillis = crashDelay.applyAsLong(key.task());
    if (crashDelayMillis >= 0) {
      time.schedule(crashDelayMillis, () -> crashUnder(run));
    }
    promises.recordStart(run.observed());
    if (run.gangWidth == 1) {
      beginWork(run, workMillis, step.flags().persistent());
    } else {
      joinGang(run, workMillis);
    }
    return StartOutcome.STARTED;
  }

  private void beginWork(ModelRun run, long normalMillis, boolean persistent) {
    long workMillis = slowdownFactor * normalMillis;
    run.working = true;
    run.beginWork(time.nowMillis(), workMillis);
    boolean fails = time.randomlyTrue(failureShare);
    if (persistent && !fails) {
      return;
    }
    time.schedule(
        fails ? workMillis / 2 : workMillis, () -> end(run, fails ? RunEnd.FAILED : RunEnd.DONE));
  }

  private String gangKey(ModelRun run) {
    TaskName task = run.key.task();
    return task.submission() + "." + task.occurrence() + "." + task.step() + "." + run.key.number();
  }

  private void joinGang(ModelRun run, long workMillis) {
    List<ModelRun> gang = gangs.computeIfAbsent(gangKey(run), key -> new ArrayList<>());
    gang.add(run);
    if (gang.size() == run.gangWidth) {
      boolean fails = time.randomlyTrue(failureShare);
      gang.forEach(member -> member.working = true);
      gang.forEach(member -> member.beginWork(time.nowMillis(), workMillis));
      time.schedule(
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
      time.schedule(
          GANG_TIMEOUT_MILLIS,
          () -> {
            if (!run.working) {
              end(run, RunEnd.ALONE);
            }
          });
    }
  }

  void end(ModelRun run, RunEnd end) {
    if (runs.get(run.key) != run || run.stopping && end != RunEnd.STOPPED && end != RunEnd.LAPSED) {
      return;
    }
    runs.remove(run.key);
    closedRunNumbers.merge(run.key.task(), run.key.number(), Math::max);
    ended.add(new EndedRun(++lastEndNumber, run.key, end, ""));
    promises.recordEnd(run.observed(), end);
    breakGang(run, end);
  }

  private void breakGang(ModelRun run, RunEnd end) {
    if (run.gangWidth == 1 || end == RunEnd.DONE) {
      return;
    }
    List<ModelRun> gang = gangs.getOrDefault(gangKey(run), new ArrayList<>());
    gang.remove(run);
    for (ModelRun member : List.copyOf(gang)) {
      if (member.working) {
        member.worker.end(member, RunEnd.BROKEN);
      }
    }
  }

  boolean stop(long callerToken, RunKey key) {
    expireLease();
    if (callerToken < fencingToken) {
      return false;
    }
    fencingToken = callerToken;
    closedRunNumbers.merge(key.task(), key.number(), Math::max);
    ModelRun run = runs.get(key);
    if (run != null && !run.stopping) {
      run.stopping = true;
      time.schedule(time.randomBetween(0, MAX_STOP_MILLIS), () -> end(run, RunEnd.STOPPED));
    }
    return true;
  }

  /** Returns the report, or null if the fencing token is too low. */
  RenewalReport hold(long callerToken, long deadline, long acknowledged) {
    expireLease();
    if (callerToken < fencingToken) {
      return null;
    }
    fencingToken = callerToken;
    if (deadline >= 0) {
      leaseEndMillis =
          Math.max(leaseEndMillis, Math.min(deadline, localClockMillis() + MAX_LEASE_MILLIS));
      scheduleLeaseCheck();
    }
    while (!ended.isEmpty() && ended.get(0).number() <= acknowledged) {
      EndedRun acknowledgedEnd = ended.remove(0);
      promises.recordEndAcknowledged(
          new ObservedRun(acknowledgedEnd.run(), id, incarnation), acknowledgedEnd.how());
    }
    List<RunningTask> running = new ArrayList<>();
    for (ModelRun run : runs.values()) {
      running.add(new RunningTask(run.key, "", run.percent(time.nowMillis())));
    }
    return new RenewalReport(incarnation, localClockMillis(), running, List.copyOf(ended));
  }

  boolean hasUnacknowledgedEnds(long acknowledged) {
    return !ended.isEmpty() && ended.get(ended.size() - 1).number() > acknowledged;
  }

  /** Returns whether an owner has called this incarnation under a token of its own. */
  boolean isClaimed() {
    return fencingToken > formerToken;
  }

  private void scheduleLeaseCheck() {
    long remainingMillis = (long) ((leaseEndMillis - localClockMillis()) / clockRate) + 2;
    time.schedule(remainingMillis, this::expireLease);
  }

  private void expireLease() {
    if (localClockMillis() > leaseEndMillis && !runs.isEmpty()) {
      promises.recordLeaseExpired(id);
      for (ModelRun run : List.copyOf(runs.values())) {
        end(run, RunEnd.LAPSED);
      }
    } else if (localClockMillis() > leaseEndMillis) {
      promises.recordLeaseExpired(id);
    }
  }

  private void crashUnder(ModelRun run) {
    if (up && runs.get(run.key) == run) {
      crash(time.randomBetween(MIN_CRASH_MILLIS, MAX_CRASH_MILLIS));
      crashedUnderTask = true;
    }
  }

  /** Changes the capacity while the worker runs. */
  void changeCapacity(Resources changed) {
    capacity = changed;
    promises.setCapacity(id, changed);
  }

  /** Crashes; a crash while the worker is down only extends the outage. */
  void crash(long millis) {
    downUntilMillis = Math.max(downUntilMillis, time.nowMillis() + millis);
    time.schedule(
        millis,
        () -> {
          if (!up && !left && time.nowMillis() >= downUntilMillis) {
            restart();
          }
        });
    up = false;
    promises.recordWorkerCrash(runs.keySet().stream().map(RunKey::task).toList());
    dropRuns();
  }

  /** Announces that the worker accepts no new tasks and leaves after the given time. */
  void drain(long millis) {
    draining = true;
    drainEndMillis = time.nowMillis() + millis;
  }

  /** Leaves permanently and loses all its runs. */
  void leave() {
    left = true;
    up = false;
    dropRuns();
  }

  private void dropRuns() {
    for (ModelRun run : List.copyOf(runs.values())) {
      runs.remove(run.key);
      promises.recordEnd(run.observed(), RunEnd.LAPSED);
      breakGang(run, RunEnd.LAPSED);
    }
  }

  void restart() {
    up = true;
    crashedUnderTask = false;
    incarnation = time.nowMillis();
    startedAtMillis = time.nowMillis();
    ended.clear();
    closedRunNumbers.clear();
    formerToken = Math.max(formerToken, fencingToken);
    fencingToken = 0;
    leaseEndMillis = 0;
    lastEndNumber = 0;
  }
}
