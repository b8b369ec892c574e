package org.hickorypier.standins.executor;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.hickorypier.standins.fault.Delays;

/**
 * A worker in memory: runs, ends, fencing, and a lease that ends everything when it runs out.
 *
 * <p>Thread safe. Gangs and checkpoints are not modelled here; the seeded model of the cell has the
 * gangs.
 */
public final class InMemoryExecutor {

  private static final int OK = 200;
  private static final int CONFLICT = 409;

  /** The capacity at first, in thousandths of a core. */
  private static final long MOST_PROCESSORS = 16_000;

  /** A longer lease is shortened to this, in milliseconds. */
  private static final long LONGEST_LEASE_MILLIS = 10_000;

  private final String id;
  private final long bornMillis;
  private final Workload workload;
  private final RunObserver observer;
  private final LongSupplier clock;
  private final Delays delays;
  private final Map<String, Present> running = new LinkedHashMap<>();
  private final Map<String, Integer> closed = new HashMap<>();
  private final List<JsonArray> ended = new ArrayList<>();
  private final List<String> history = new ArrayList<>();
  private long token;
  private long lease;
  private boolean watchesLease;
  private long number;
  private boolean crashed;
  private volatile long processors = MOST_PROCESSORS;

  /**
   * Creates a worker that runs nothing.
   *
   * @param id its id
   * @param bornMillis its start, milliseconds since 1970
   * @param workload decides what runs do
   * @param observer hears what happens to the runs
   * @param clock its steady clock
   * @param delays runs what is due later
   */
  public InMemoryExecutor(
      String id,
      long bornMillis,
      Workload workload,
      RunObserver observer,
      LongSupplier clock,
      Delays delays) {
    this.id = id;
    this.bornMillis = bornMillis;
    this.workload = workload;
    this.observer = observer;
    this.clock = clock;
    this.delays = delays;
  }

  /** The status and body of an answer. */
  public record Answer(int status, JsonObject body) {}

  /**
   * Returns the worker's id.
   *
   * @return the id
   */
  public String id() {
    return id;
  }

  /**
   * Returns all starts so far, as task and run.
   *
   * @return a copy
   */
  public synchronized List<String> history() {
    return List.copyOf(history);
  }

  /**
   * Returns the entry that the worker keeps in the store.
   *
   * @param service its service
   * @param address where it listens
   * @return the entry
   */
  public JsonObject entry(String service, String address) {
    return new JsonObject()
        .put("Service", service)
        .put("Address", address)
        .put("Zone", "a")
        .put("Version", "v1")
        .put("Slots", 8)
        .put("State", "ready")
        .put("ColdLeftMs", 0)
        .put("Capacity", new JsonObject().put("Cpu", processors).put("MemMb", 64_000).put("Gpu", 0))
        .put("Labels", new JsonArray().add("a").add("r1"))
        .put("born", bornMillis)
        .put("Sequence", 1);
  }

  /**
   * Changes the capacity, which later entries tell.
   *
   * @param changed the capacity in thousandths of a core
   */
  public void changeProcessors(long changed) {
    processors = changed;
  }

  /**
   * Returns the names of the tasks that run.
   *
   * @return a copy
   */
  public synchronized List<String> runningTasks() {
    return running.values().stream().map(Present::task).toList();
  }

  /**
   * Takes an order to start.
   *
   * @param order the order
   * @return the answer
   */
  public synchronized Answer start(JsonObject order) {
    expire();
    final String task = order.getString("Task");
    final int run = order.getInteger("Run");
    if (crashed) {
      return refused("late");
    }
    if (fenced(order)) {
      return refused("fence");
    }
    extend(order.getLong("DeadlineMs", 0L));
    if (running.containsKey(key(task, run))) {
      return new Answer(OK, clockBody());
    }
    if (run <= closed.getOrDefault(task, 0)) {
      return refused("old");
    }
    if (order.getLong("DeadlineMs", 0L) < clock.getAsLong()) {
      return refused("late");
    }
    Workload.Planned planned = workload.plan(task, run);
    running.put(key(task, run), new Present(task, run, clock.getAsLong(), planned));
    history.add(key(task, run));
    observer.started(task, run);
    if (planned.crashes()) {
      delays.after(Math.max(1, planned.millis()), () -> crashUnder(task, run));
    } else if (!planned.lasts()) {
      delays.after(
          Math.max(1, planned.millis()), () -> end(task, run, planned.fails() ? "failed" : "done"));
    }
    return new Answer(OK, clockBody());
  }

  /**
   * Takes an order to stop.
   *
   * @param order the order
   * @return the answer
   */
  public synchronized Answer stop(JsonObject order) {
    expire();
    if (fenced(order)) {
      return refused("fence");
    }
    String task = order.getString("Task");
    int run = order.getInteger("Run");
    closed.merge(task, run, Math::max);
    end(task, run, "stopped");
    return new Answer(OK, clockBody());
  }

  /**
   * Takes a renewal.
   *
   * @param order the renewal
   * @return the answer
   */
  public synchronized Answer hold(JsonObject order) {
    expire();
    if (fenced(order)) {
      return refused("fence");
    }
    extend(order.getLong("DeadlineMs", 0L));
    forget(order.getLong("SeenUpto", 0L));
    JsonArray present = new JsonArray();
    running.values().forEach(each -> present.add(each.row(clock.getAsLong())));
    JsonArray ends = new JsonArray();
    ended.forEach(ends::add);
    return new Answer(
        OK, clockBody().put("Running", present).put("Ended", ends).put("born", bornMillis));
  }

  /**
   * Tells whether a renewal need not wait any longer.
   *
   * @param seen the number that the renewal acknowledges
   * @return true if there is an end after it
   */
  public synchronized boolean hasEnds(long seen) {
    expire();
    return ended.stream().anyMatch(row -> row.getLong(0) > seen);
  }

  private void crashUnder(String task, int run) {
    boolean present;
    synchronized (this) {
      present = !crashed && running.containsKey(key(task, run));
    }
    if (present) {
      observer.crashing();
    }
  }

  /** Ends this life of the worker: everything on it is gone, and nothing is told any more. */
  public synchronized void crash() {
    for (Present each : new ArrayList<>(running.values())) {
      end(each.task, each.run, "lapsed");
    }
    crashed = true;
  }

  /** Tells whether a higher token was seen; otherwise the order's is the highest now. */
  private boolean fenced(JsonObject order) {
    long present = order.getLong("FencingToken", 0L);
    boolean lower = present < token;
    token = Math.max(token, present);
    return lower;
  }

  private void forget(long seen) {
    while (!ended.isEmpty() && ended.get(0).getLong(0) <= seen) {
      JsonArray row = ended.remove(0);
      observer.forgotten(row.getString(1), row.getInteger(2), row.getString(3));
    }
  }

  private void extend(long deadline) {
    long wanted = Math.min(deadline, clock.getAsLong() + LONGEST_LEASE_MILLIS);
    if (wanted > lease) {
      lease = wanted;
      watchLease();
    }
  }

  /** Looks again at the lease's end until it has expired, since the clock may be slow. */
  private void watchLease() {
    if (!watchesLease) {
      watchesLease = true;
      delays.after(Math.max(1, lease - clock.getAsLong() + 1), this::lookAtLease);
    }
  }

  private synchronized void lookAtLease() {
    watchesLease = false;
    expire();
    if (!crashed && clock.getAsLong() <= lease) {
      watchLease();
    }
  }

  private synchronized void expire() {
    if (crashed || clock.getAsLong() <= lease) {
      return;
    }
    observer.lapsed();
    if (!running.isEmpty()) {
      for (Present each : new ArrayList<>(running.values())) {
        end(each.task, each.run, "lapsed");
      }
    }
  }

  private synchronized void end(String task, int run, String how) {
    if (running.remove(key(task, run)) != null) {
      closed.merge(task, run, Math::max);
      ended.add(new JsonArray().add(++number).add(task).add(run).add(how).add(""));
      observer.ended(task, run, how);
    }
  }

  private Answer refused(String reason) {
    return new Answer(CONFLICT, clockBody().put("Reason", reason));
  }

  private JsonObject clockBody() {
    return new JsonObject().put("ClockMs", clock.getAsLong());
  }

  /** A task that runs, with its beginning on the worker's clock and what it does. */
  private record Present(String task, int run, long begunAt, Workload.Planned planned) {

    /** A task that lasts is at work at 100 percent; any other that reaches them has ended. */
    private static final long AT_WORK_PERCENT = 100;

    private static final long MOST_PERCENT = 99;

    JsonArray row(long now) {
      long most = planned.lasts() ? AT_WORK_PERCENT : MOST_PERCENT;
      long percent = Math.min(most, 100 * (now - begunAt) / Math.max(1, planned.millis()));
      return new JsonArray().add(task).add(run).add("").add(percent).add(0);
    }
  }

  private static String key(String task, int run) {
    return task + "#" + run;
  }
}
