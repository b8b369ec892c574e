package org.hickorypier.measure.soak;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.Random;
import org.hickorypier.core.cell.RunEnd;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.verification.GuaranteeChecker;
import org.hickorypier.core.verification.ObservedRun;
import org.hickorypier.platform.execution.TaskNames;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.standins.executor.InMemoryExecutor;
import org.hickorypier.standins.executor.RunObserver;
import org.hickorypier.standins.executor.Workload;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.http.ExecutorServer;
import org.hickorypier.standins.store.InMemoryStore;
import org.hickorypier.wire.UndecodableException;

/**
 * A worker through all its lives, behind a proxy, with its entry in the store.
 *
 * <p>Thread safe.
 */
final class StandInWorker {

  private static final String LOOPBACK = "127.0.0.1";
  private static final String ENTRIES = "keyed.servers";

  /** Each worker writes its entry about so often. */
  static final long HEARTBEAT_MILLIS = 1_500;

  /** After three heartbeats without a sign the entry is dropped. */
  private static final long LAPSE_MILLIS = 3 * HEARTBEAT_MILLIS;

  /** A worker that drains says how long it stays at least, and may stay longer. */
  private static final int TOLD_PERCENT = 80;

  /** A task that crashes its worker does so at the start, or within this time. */
  private static final int LATEST_CRASH_MILLIS = 400;

  private static final long CRASHED_MILLIS = 3_000;

  /** Longer than the longest lease. */
  private static final long SHORTEST_LONG_TASK_MILLIS = 11_000;

  private static final long FAILING_MILLIS = 20;

  private static final int LONG_TASK_SPREAD_MILLIS = 5_000;

  /** Well above the longest lease, so that the clocks of two lives are apart by many leases. */
  private static final int LATEST_CLOCK_BASE_MILLIS = 2_000_000;

  /** A clock may be 2% slow. */
  private static final double SLOWEST_CLOCK = 0.98;

  final LoopbackProxy proxy;
  private final Vertx vertx;
  private final String id;
  private final InMemoryStore store;
  private final GuaranteeChecker checker;
  private final LastingTaskCheck lasting;
  private final long workUnitMillis;
  private ServiceAddress address;
  private InMemoryExecutor executor;
  private final ExecutorServer server;
  private final Random random;
  private volatile boolean failsAll;
  private long sequence;
  private long processors = StandInPlatform.WORKER.milliProcessors();
  private boolean up;
  private boolean draining;
  private boolean cutOffFromStore;

  /** Whether the present life, or the next one, writes its first entry with a later heartbeat. */
  private boolean listedLate;

  /** Until when it has said that it stays at least, on the steady clock. */
  private long staysUntil;

  StandInWorker(Vertx vertx, String id, StandInPlatform platform, long workUnitMillis) {
    this.server = new ExecutorServer(vertx, null);
    this.random = new Random(platform.seed + id.hashCode());
    this.vertx = vertx;
    this.id = id;
    this.store = platform.store;
    this.checker = platform.checker;
    this.lasting = platform.lasting;
    this.workUnitMillis = workUnitMillis;
    this.proxy = new LoopbackProxy(vertx);
  }

  void begin() throws SoakException {
    address = Waiting.forResult(proxy.listen());
    HttpServer listening = Waiting.forResult(server.listen(0));
    proxy.target(new ServiceAddress(LOOPBACK, listening.actualPort()));
    live();
    vertx.setPeriodic(HEARTBEAT_MILLIS, timer -> heartbeat());
  }

  /** Begins a life: nothing runs, nothing is known of earlier ones, and its clock is its own. */
  private synchronized void live() {
    long born = System.currentTimeMillis();
    long began = System.nanoTime();
    long clockBase = random.nextInt(LATEST_CLOCK_BASE_MILLIS);
    executor =
        new InMemoryExecutor(
            id,
            born,
            this::plan,
            new Record(born),
            () -> clockBase + (long) ((System.nanoTime() - began) / 1_000_000 * SLOWEST_CLOCK),
            (millis, task) -> vertx.setTimer(Math.max(1, millis), timer -> task.run()));
    executor.changeProcessors(processors);
    server.serve(executor);
    proxy.mode(ProxyMode.PASS);
    cutOffFromStore = false;
    sequence = 0;
    up = true;
    lasting.takesWork(id, StandInPlatform.WORKER);
    lasting.note(id + " is born at " + born + ", its clock is at " + clockBase);
    if (!listedLate) {
      heartbeat();
    }
  }

  /** Crashes and resets all connections. */
  synchronized void crash(long downMillis) {
    if (up) {
      proxy.mode(ProxyMode.REFUSE);
      listedLate = false;
      end(downMillis);
    }
  }

  /**
   * Crashes without a sign; calls that were sent meanwhile reach the next life, which writes its
   * entry at once or with the next heartbeat.
   */
  synchronized void crashDark(long downMillis) {
    if (up) {
      listedLate = random.nextBoolean();
      end(downMillis);
    }
  }

  private void end(long downMillis) {
    up = false;
    lasting.takesNoWork(id);
    checker.recordWorkerCrash(
        executor.runningTasks().stream().map(StandInWorker::taskName).toList());
    executor.crash();
    server.serve(null);
    vertx.setTimer(LAPSE_MILLIS, timer -> dropEntryWhileDown());
    vertx.setTimer(downMillis, timer -> live());
  }

  private static TaskName taskName(String task) {
    try {
      return TaskNames.parse(task);
    } catch (UndecodableException error) {
      throw new IllegalArgumentException("a worker was told to start " + task, error);
    }
  }

  /** Changes the capacity while the worker runs. */
  synchronized void changeProcessors(long changed) {
    processors = changed;
    executor.changeProcessors(changed);
    checker.setCapacity(id, new Resources(changed, StandInPlatform.WORKER.memoryMebibytes(), 0));
    heartbeat();
  }

  /** Cannot be reached for some time, nor reach the store, and runs on. */
  synchronized void cutOff(long millis) {
    cutOffFromStore = true;
    proxy.mode(ProxyMode.SILENT);
    vertx.setTimer(LAPSE_MILLIS, timer -> dropEntryWhileDown());
    vertx.setTimer(millis, timer -> reconnect());
  }

  private synchronized void reconnect() {
    cutOffFromStore = false;
    proxy.mode(ProxyMode.PASS);
    heartbeat();
  }

  private synchronized void dropEntryWhileDown() {
    if (!up || cutOffFromStore) {
      store.put(ENTRIES, id, null);
    }
  }

  /**
   * Says that it drains, and leaves for good after the length; returns false if it is down. It says
   * that it stays for a part of the length at least.
   */
  synchronized boolean drain(long lengthMillis) {
    if (!up) {
      return false;
    }
    draining = true;
    staysUntil = nowMillis() + lengthMillis * TOLD_PERCENT / 100;
    lasting.takesNoWork(id);
    heartbeat();
    vertx.setTimer(lengthMillis, timer -> leave());
    return true;
  }

  private synchronized void leave() {
    up = false;
    proxy.target(null);
    proxy.mode(ProxyMode.REFUSE);
    executor.crash();
    store.put(ENTRIES, id, null);
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  void failAll(boolean fails) {
    failsAll = fails;
  }

  synchronized void faults(FaultPlan plan) {
    server.gate().plan(plan);
  }

  private Workload.Planned plan(String task, int run) {
    if (lasting.lasts(task.substring(0, task.indexOf('.')))) {
      return Workload.Planned.lasting(workUnitMillis);
    }
    if (SoakCallers.crashesItsWorkers(task)) {
      return Workload.Planned.crashing(Math.floorMod(task.hashCode(), LATEST_CRASH_MILLIS));
    }
    if (SoakCallers.fails(task)) {
      return new Workload.Planned(FAILING_MILLIS, true);
    }
    if (SoakCallers.takesLong(task)) {
      int spread = Math.floorMod(task.hashCode(), LONG_TASK_SPREAD_MILLIS);
      return new Workload.Planned(SHORTEST_LONG_TASK_MILLIS + spread, failsAll);
    }
    // Lengths from one to four units, and the same at each try.
    return new Workload.Planned(workUnitMillis * (1 + Math.floorMod(task.hashCode(), 4)), failsAll);
  }

  private synchronized void heartbeat() {
    if (up && !cutOffFromStore) {
      JsonObject entry = executor.entry(StandInPlatform.SERVICE, "" + address);
      entry.put("Sequence", ++sequence);
      if (draining) {
        entry.put("State", "draining");
        entry.put("RemainingMs", Math.max(0, staysUntil - nowMillis()));
      }
      store.put(ENTRIES, id, entry.toBuffer().getBytes());
    }
  }

  /** Tells the checker what this life of the worker sees. */
  private final class Record implements RunObserver {

    private final long born;

    Record(long born) {
      this.born = born;
    }

    private ObservedRun observed(String task, int run) {
      return new ObservedRun(new RunKey(taskName(task), run), id, born);
    }

    @Override
    public void started(String task, int run) {
      lasting.note("started on " + id + ": " + observed(task, run).key());
      checker.recordStart(observed(task, run));
      lasting.started(observed(task, run));
    }

    @Override
    public void ended(String task, int run, String how) {
      lasting.note(how + " on " + id + ": " + observed(task, run).key());
      checker.recordEnd(observed(task, run), RunEnd.valueOf(how.toUpperCase(Locale.ROOT)));
      lasting.ended(observed(task, run));
    }

    @Override
    public void forgotten(String task, int run, String how) {
      checker.recordEndAcknowledged(
          observed(task, run), RunEnd.valueOf(how.toUpperCase(Locale.ROOT)));
    }

    @Override
    public void lapsed() {
      checker.recordLeaseExpired(id);
    }

    @Override
    public void crashing() {
      crash(CRASHED_MILLIS);
    }
  }
}
