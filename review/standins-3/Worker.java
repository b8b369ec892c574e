import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A worker that starts whatever it is told to, after PROTOCOL.md, "Running tasks". */
final class Worker {

  static final long HEARTBEAT_MILLIS = 1_500;
  static final long HOLD_MAX_MILLIS = 10_000;

  /** A task that lasts is at work, at 100 percent, after this time. */
  private static final long STARTUP_MILLIS = 300;

  /** The submissions whose tasks last. */
  static final Set<String> LASTING = ConcurrentHashMap.newKeySet();

  /** Decides what a run does. */
  interface Workload {
    /** Returns how long the run works, in milliseconds; negative if it fails then. */
    long millis(String task, int run);
  }

  /** Hears of starts, of ends and of ends that are forgotten. */
  interface Listener {
    void event(String what, Worker worker, String task, int run);
  }

  final String id;
  private final Vertx vertx;
  private final Store store;
  private final String service;
  private final String kind;
  private final String rack;
  private final long cpu;
  private final long memory;
  private final Workload workload;
  private final Listener listener;
  private final long began = System.nanoTime();
  private final long born = System.currentTimeMillis();
  private final Map<String, Present> running = new LinkedHashMap<>();
  private final Map<String, Integer> closed = new HashMap<>();
  private final List<JsonArray> ended = new ArrayList<>();
  private HttpServer server;
  private String address;
  private long token;
  private long lease;
  private long number;
  private long sequence;
  private boolean dead;

  private record Present(String task, int run, long begunAt, long millis) {}

  Worker(
      Vertx vertx,
      Store store,
      String service,
      String id,
      String kind,
      String rack,
      long cpu,
      long memory,
      Workload workload,
      Listener listener)
      throws Exception {
    this.vertx = vertx;
    this.store = store;
    this.service = service;
    this.id = id;
    this.kind = kind;
    this.rack = rack;
    this.cpu = cpu;
    this.memory = memory;
    this.workload = workload;
    this.listener = listener;
    server =
        vertx
            .createHttpServer()
            .requestHandler(request -> request.body().onSuccess(body -> handle(request, body)))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS);
    address = "127.0.0.1:" + server.actualPort();
    heartbeat();
    vertx.setPeriodic(HEARTBEAT_MILLIS, timer -> heartbeat());
    vertx.setPeriodic(20, timer -> expire());
  }

  private long clock() {
    return 100_000 + (System.nanoTime() - began) / 1_000_000;
  }

  private synchronized void heartbeat() {
    if (dead) {
      return;
    }
    store.put(
        "keyed.servers",
        id,
        new JsonObject()
            .put("Service", service)
            .put("Address", address)
            .put("Zone", "norte-a")
            .put("Version", "v1")
            .put("Slots", 8)
            .put("State", "ready")
            .put("ColdLeftMs", 0)
            .put("Capacity", new JsonObject().put("Cpu", cpu).put("MemMb", memory).put("Gpu", 0))
            .put("Labels", new JsonArray().add(kind).add(rack))
            .put("ClockMs", clock())
            .put("born", born)
            .put("Sequence", ++sequence));
  }

  /** Crashes for good: nothing is said any more, and the entry goes after three beats. */
  void crash() {
    synchronized (this) {
      dead = true;
      running.values().forEach(each -> listener.event("crashed", this, each.task, each.run));
      running.clear();
    }
    server.close();
    vertx.setTimer(3 * HEARTBEAT_MILLIS, timer -> store.put("keyed.servers", id, null));
  }

  synchronized int runningCount() {
    return running.size();
  }

  synchronized List<String> runningTasks() {
    return running.values().stream().map(each -> each.task + "#" + each.run).toList();
  }

  private void handle(HttpServerRequest request, Buffer body) {
    String expected = request.getHeader("Hickorypier-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      request.response().setStatusCode(421).end();
      return;
    }
    switch (request.path()) {
      case "/hickorypier/run-start" -> start(request, body.toJsonObject());
      case "/hickorypier/run-stop" -> stop(request, body.toJsonObject());
      case "/hickorypier/hold" -> hold(request, body.toJsonObject());
      case "/health" -> request.response().end();
      default -> request.response().setStatusCode(404).end();
    }
  }

  private void reply(HttpServerRequest request, int status, JsonObject body) {
    if (!request.response().closed()) {
      request.response().setStatusCode(status).end(body.put("ClockMs", clock()).toBuffer());
    }
  }

  private void refuse(HttpServerRequest request, String reason) {
    reply(request, 409, new JsonObject().put("Reason", reason));
  }

  /** Takes the token and the deadline of a call; false if the token is a lower one. */
  private boolean takes(JsonObject body) {
    long sent = body.getLong("FencingToken", 0L);
    if (dead || sent < token) {
      return false;
    }
    token = sent;
    long deadline = body.getLong("DeadlineMs", 0L);
    lease = Math.max(lease, Math.min(deadline, clock() + HOLD_MAX_MILLIS));
    return true;
  }

  private synchronized void start(HttpServerRequest request, JsonObject body) {
    expire();
    String task = body.getString("Task");
    int run = body.getInteger("Run");
    if (!takes(body)) {
      refuse(request, "fence");
    } else if (running.containsKey(task + "#" + run)) {
      reply(request, 200, new JsonObject());
    } else if (run <= closed.getOrDefault(task, 0)) {
      listener.event("refused as old", this, task, run);
      refuse(request, "old");
    } else if (body.getLong("DeadlineMs", 0L) < clock()) {
      refuse(request, "late");
    } else {
      long millis = workload.millis(task, run);
      running.put(task + "#" + run, new Present(task, run, clock(), Math.abs(millis)));
      listener.event("started", this, task, run);
      vertx.setTimer(
          Math.max(1, Math.abs(millis)), timer -> end(task, run, millis < 0 ? "failed" : "done"));
      reply(request, 200, new JsonObject());
    }
  }

  private synchronized void stop(HttpServerRequest request, JsonObject body) {
    expire();
    if (!takes(body)) {
      refuse(request, "fence");
      return;
    }
    closed.merge(body.getString("Task"), body.getInteger("Run"), Math::max);
    end(body.getString("Task"), body.getInteger("Run"), "stopped");
    reply(request, 200, new JsonObject());
  }

  private void hold(HttpServerRequest request, JsonObject body) {
    synchronized (this) {
      expire();
      if (!takes(body)) {
        refuse(request, "fence");
        return;
      }
      long seen = body.getLong("SeenUpto", 0L);
      for (Iterator<JsonArray> each = ended.iterator(); each.hasNext(); ) {
        JsonArray row = each.next();
        if (row.getLong(0) > seen) {
          break;
        }
        listener.event("forgotten", this, row.getString(1), row.getInteger(2));
        each.remove();
      }
    }
    long wait = Math.min(2_000, body.getLong("WaitMs", 0L));
    poll(request, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait));
  }

  private void poll(HttpServerRequest request, long until) {
    JsonObject answer = null;
    synchronized (this) {
      if (!ended.isEmpty() || System.nanoTime() >= until) {
        JsonArray present = new JsonArray();
        for (Present each : running.values()) {
          present.add(
              new JsonArray().add(each.task).add(each.run).add("").add(percent(each)).add(0));
        }
        JsonArray ends = new JsonArray();
        for (int index = 0; index < Math.min(500, ended.size()); index++) {
          ends.add(ended.get(index));
        }
        answer = new JsonObject().put("Running", present).put("Ended", ends).put("born", born);
      }
    }
    if (answer != null) {
      reply(request, 200, answer);
    } else if (!request.response().closed()) {
      vertx.setTimer(4, timer -> poll(request, until));
    }
  }

  private long percent(Present run) {
    long worked = clock() - run.begunAt;
    if (LASTING.contains(run.task.substring(0, run.task.indexOf('.')))) {
      return Math.min(100, 100 * worked / STARTUP_MILLIS);
    }
    return Math.min(99, 100 * worked / Math.max(1, run.millis));
  }

  private synchronized void end(String task, int run, String how) {
    if (running.remove(task + "#" + run) != null) {
      closed.merge(task, run, Math::max);
      ended.add(new JsonArray().add(++number).add(task).add(run).add(how).add(""));
      listener.event(how, this, task, run);
    }
  }

  private synchronized void expire() {
    if (!dead && !running.isEmpty() && clock() > lease) {
      for (Present each : new ArrayList<>(running.values())) {
        end(each.task, each.run, "lapsed");
      }
    }
  }
}
