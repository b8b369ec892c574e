import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Small stand-ins for the platform's store, the workers and the callers, and the instances as
 * processes that are started with the command of the deploy file. All stand-ins run on one event
 * loop in this process; everything listens on 127.0.0.1 on free ports.
 */
public final class Stage {

  static final String LOOPBACK = "127.0.0.1";
  static final String SERVICE = "svc";
  static final String HOST = "queue.example";

  /** The figures of the small installations' pages. */
  static final int RECORD_BYTES = 262_144;

  static final int CALL_BYTES = 2_097_152;
  static final int HEARTBEAT_MILLIS = 1_500;
  static final int HOLD_MAX_MILLIS = 10_000;
  static final int STOP_MILLIS = 200;
  static final int ACK_MILLIS = 4_000;
  static final int CANCEL_MILLIS = 3_000;
  static final int FINISH_MILLIS = 14_000;

  /** A process that ends by itself is started again after this time. */
  static final int RESTART_MILLIS = 1_000;

  /** A case ends by then in any event. */
  private static final long MOST_MILLIS = 118_000;

  final Vertx vertx =
      Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setPreferNativeTransport(false));
  final long begun = System.nanoTime();
  final PrintWriter record;
  final Store store = new Store();
  final List<Worker> workers = new ArrayList<>();
  final List<Instance> instances = new ArrayList<>();
  final HttpClient client =
      vertx.createHttpClient(
          new HttpClientOptions().setConnectTimeout(1_000),
          new PoolOptions().setHttp1MaxSize(40));
  private final Path folder;

  Stage(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    folder = Files.createTempDirectory("hickorypier-review");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> instances.forEach(Instance::end)));
    Thread watchdog =
        new Thread(
            () -> {
              try {
                Thread.sleep(MOST_MILLIS);
              } catch (InterruptedException error) {
                return;
              }
              note("the case takes too long");
              instances.forEach(Instance::end);
              Runtime.getRuntime().halt(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
  }

  /** Whether the disruption is made. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
  }

  synchronized void note(String text) {
    record.printf("%8.3f %s%n", now() / 1000.0, text);
    record.flush();
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
      return socket.getLocalPort();
    }
  }

  <T> T wait(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
  }

  /** Runs on the event loop and waits. */
  void onLoop(Runnable action) throws Exception {
    Promise<Void> done = Promise.promise();
    vertx.runOnContext(
        none -> {
          try {
            action.run();
            done.complete();
          } catch (RuntimeException error) {
            done.fail(error);
          }
        });
    wait(done.future());
  }

  // ---------------------------------------------------------------- store

  static final class Partition {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, byte[]> newest = new TreeMap<>();
    final Map<String, Long> epochs = new HashMap<>();
    final Map<String, Long> sequences = new HashMap<>();
    final Map<String, LinkedHashMap<Long, Long>> answers = new HashMap<>();

    long end() {
      return records.size();
    }

    void add(byte[] entry) {
      records.add(entry);
      int length = entry[0] & 0xff;
      String key = new String(entry, 1, length, StandardCharsets.UTF_8);
      if (entry.length == 1 + length) {
        newest.remove(key);
      } else {
        newest.put(key, Arrays.copyOfRange(entry, 1 + length, entry.length));
      }
    }
  }

  /** The platform's store: keyed topics with producers, and one group. */
  final class Store {
    final Map<String, Partition> partitions = new HashMap<>();
    final TreeMap<String, Long> members = new TreeMap<>();
    final List<Runnable> waiting = new ArrayList<>();
    long generation;

    /** The instance that appended last. */
    volatile int lastWriter;

    long refusedTooLarge;
    long largestRecord;

    /** Answers nothing, neither on open nor on new channels, while true. */
    volatile boolean silent;

    Partition partition(String topic, int part) {
      return partitions.computeIfAbsent(topic + "/" + part, name -> new Partition());
    }

    void put(String topic, String key, Buffer value) {
      byte[] name = key.getBytes(StandardCharsets.UTF_8);
      byte[] bytes = value == null ? new byte[0] : value.getBytes();
      byte[] entry = new byte[1 + name.length + bytes.length];
      entry[0] = (byte) name.length;
      System.arraycopy(name, 0, entry, 1, name.length);
      System.arraycopy(bytes, 0, entry, 1 + name.length, bytes.length);
      partition(topic, 0).add(entry);
      wake();
    }

    void wake() {
      List<Runnable> all = new ArrayList<>(waiting);
      waiting.clear();
      all.forEach(Runnable::run);
    }

    /** Listens for one instance, so that its calls can be told from those of the others. */
    Future<Integer> listenFor(int instance) {
      return vertx
          .createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
          .requestHandler(
              request ->
                  request
                      .body()
                      .onSuccess(
                          body -> {
                            if (request.path().endsWith("/log-append")) {
                              lastWriter = instance;
                            }
                            if (!silent) {
                              vertx.setTimer(2, id -> handle(request, body));
                            }
                          }))
          .listen(0, LOOPBACK)
          .map(server -> server.actualPort());
    }

    void handle(HttpServerRequest request, Buffer body) {
      switch (request.path()) {
        case "/hickorypier/log-append" -> append(request, body);
        case "/hickorypier/log-read" -> {
          long until = now() + Long.parseLong(request.getParam("WaitMs", "0"));
          read(request, until);
        }
        case "/hickorypier/log-newest" -> newest(request);
        case "/hickorypier/log-join" -> join(request, body.toJsonObject());
        case "/hickorypier/log-leave" -> {
          members.remove(body.toJsonObject().getString("Member"));
          generation++;
          answer(request, 200, new JsonObject());
        }
        default -> answer(request, 400, new JsonObject());
      }
    }

    private Partition partition(HttpServerRequest request) {
      return partition(request.getParam("Topic"), Integer.parseInt(request.getParam("part", "0")));
    }

    private void append(HttpServerRequest request, Buffer body) {
      Partition log = partition(request);
      List<byte[]> added = new ArrayList<>();
      long total = 0;
      for (int at = 0; at < body.length(); ) {
        int length = body.getInt(at);
        largestRecord = Math.max(largestRecord, length);
        total += length;
        if (length > RECORD_BYTES || total > CALL_BYTES) {
          refusedTooLarge++;
          if (refusedTooLarge <= 5 || refusedTooLarge % 100 == 0) {
            note(
                "store: append refused, record of " + length + " bytes, call of " + total
                    + " (" + refusedTooLarge + ")");
          }
          answer(request, 413, new JsonObject().put("Error", "too large"));
          return;
        }
        added.add(body.getBytes(at + 4, at + 4 + length));
        at += 4 + length;
      }
      String producer = request.getParam("Producer");
      if (producer != null) {
        long epoch = Long.parseLong(request.getParam("epoch", "0"));
        long sequence = Long.parseLong(request.getParam("Sequence", "0"));
        long known = log.epochs.getOrDefault(producer, -1L);
        if (epoch < known) {
          answer(request, 409, new JsonObject().put("Reason", "fenced"));
          return;
        }
        var answers = log.answers.computeIfAbsent(producer, name -> new LinkedHashMap<>());
        if (epoch == known && answers.containsKey(sequence)) {
          answer(
              request,
              200,
              new JsonObject().put("Offset", answers.get(sequence)).put("End", log.end()));
          return;
        }
        if (atDiffers(request, log)) {
          return;
        }
        long expected = log.sequences.getOrDefault(producer, 0L) + 1;
        if (epoch == known && !added.isEmpty() && sequence != expected) {
          answer(request, 409, new JsonObject().put("Reason", "seq").put("Sequence", expected));
          return;
        }
        if (epoch > known) {
          log.epochs.put(producer, epoch);
          answers.clear();
          log.sequences.put(producer, sequence - 1);
        }
        if (!added.isEmpty()) {
          log.sequences.put(producer, sequence);
          answers.put(sequence, log.end());
          if (answers.size() > 5) {
            answers.remove(answers.keySet().iterator().next());
          }
        }
      } else if (atDiffers(request, log)) {
        return;
      }
      long offset = log.end();
      added.forEach(log::add);
      answer(request, 200, new JsonObject().put("Offset", offset).put("End", log.end()));
      wake();
    }

    private boolean atDiffers(HttpServerRequest request, Partition log) {
      String at = request.getParam("At");
      if (at != null && Long.parseLong(at) != log.end()) {
        answer(request, 412, new JsonObject().put("End", log.end()));
        return true;
      }
      return false;
    }

    private void read(HttpServerRequest request, long until) {
      Partition log = partition(request);
      long from = Long.parseLong(request.getParam("From", "0"));
      if (silent) {
        return;
      }
      if (from >= log.end() && now() < until) {
        boolean[] done = new boolean[1];
        Runnable again =
            () -> {
              if (!done[0]) {
                done[0] = true;
                read(request, until);
              }
            };
        waiting.add(again);
        vertx.setTimer(Math.max(1, until - now()), id -> again.run());
        return;
      }
      Buffer page = Buffer.buffer().appendLong(log.end()).appendLong(0);
      long bytes = 0;
      for (long at = from; at < log.end() && bytes < 1 << 20; at++) {
        byte[] entry = log.records.get((int) at);
        page.appendInt(entry.length).appendBytes(entry);
        bytes += entry.length;
      }
      if (!request.response().closed()) {
        request.response().end(page);
      }
    }

    private void newest(HttpServerRequest request) {
      Partition log = partition(request);
      String after = request.getParam("DependsOn");
      JsonArray items = new JsonArray();
      boolean more = false;
      long bytes = 0;
      for (var entry : (after == null ? log.newest : log.newest.tailMap(after, false)).entrySet()) {
        if (items.size() == 500 || bytes > 1 << 20) {
          more = true;
          break;
        }
        bytes += entry.getValue().length;
        items.add(
            new JsonObject()
                .put("Key", entry.getKey())
                .put("Value", Base64.getEncoder().encodeToString(entry.getValue()))
                .put("Offset", 0));
      }
      answer(
          request,
          200,
          new JsonObject().put("items", items).put("HasMore", more).put("End", log.end()));
    }

    private void join(HttpServerRequest request, JsonObject body) {
      long time = now();
      if (members.values().removeIf(alive -> alive < time)) {
        generation++;
      }
      String member = body.getString("Member");
      if (members.put(member, time + body.getLong("TtlMs")) == null) {
        generation++;
      }
      JsonArray parts = new JsonArray();
      List<String> all = new ArrayList<>(members.keySet());
      for (int part = 0; part < 12; part++) {
        if (all.get(part % all.size()).equals(member)) {
          parts.add(new JsonArray().add(body.getJsonArray("Topics").getString(0)).add(part).add(0));
        }
      }
      answer(request, 200, new JsonObject().put("Generation", generation).put("parts", parts));
    }
  }

  static void answer(HttpServerRequest request, int status, JsonObject body) {
    if (!request.response().closed()) {
      request
          .response()
          .setStatusCode(status)
          .putHeader("Content-Type", "application/json")
          .end(body.toBuffer());
    }
  }

  // ---------------------------------------------------------------- workers

  /** What a task does: how long it works, and how it ends. */
  interface Work {
    long millis(String spec, String task, int run);

    default String end(String spec, String task, int run) {
      return "done";
    }
  }

  Work work = (spec, task, run) -> 500;

  /** Called for each start and end that a worker sees, each end that is noted, and each lapse. */
  Consumer<String> seen = text -> {};

  long starts;
  long ends;

  /** One worker; it may crash and begin a new life under the same id. */
  final class Worker {
    final String id;
    int port;
    final long cpu;
    final String rack;
    long born;
    long bornAt;
    boolean up;
    long token;
    long lease;
    long number;
    long sequence;
    final Map<String, Object[]> running = new LinkedHashMap<>();
    final Map<String, Integer> closed = new HashMap<>();
    final LinkedList<JsonArray> ended = new LinkedList<>();
    final List<Runnable> waiting = new ArrayList<>();

    Worker(String id, long cpu, String rack) {
      this.id = id;
      this.cpu = cpu;
      this.rack = rack;
    }

    Future<?> listen() {
      live();
      return vertx
          .createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
          .connectionHandler(
              connection -> {
                if (!up) {
                  connection.close();
                }
              })
          .requestHandler(request -> request.body().onSuccess(body -> handle(request, body)))
          .listen(0, LOOPBACK)
          .onSuccess(
              server -> {
                port = server.actualPort();
                beat();
                vertx.setPeriodic(HEARTBEAT_MILLIS, timer -> beat());
              });
    }

    void live() {
      born = System.currentTimeMillis();
      bornAt = now();
      up = true;
      token = 0;
      lease = 0;
      number = 0;
      running.clear();
      closed.clear();
      ended.clear();
    }

    void crash(long downMillis) {
      note("worker " + id + " crashes with " + running.size() + " runs");
      up = false;
      running.clear();
      vertx.setTimer(
          downMillis,
          timer -> {
            live();
            beat();
            note("worker " + id + " begins a new life");
          });
    }

    long clock() {
      return now() - bornAt + 1_000;
    }

    void beat() {
      if (up) {
        store.put(
            "keyed.servers",
            id,
            new JsonObject()
                .put("Service", SERVICE)
                .put("Address", LOOPBACK + ":" + port)
                .put("Zone", "a")
                .put("Version", "v1")
                .put("Slots", 8)
                .put("State", "ready")
                .put("ColdLeftMs", 0)
                .put("Capacity", new JsonObject().put("Cpu", cpu).put("MemMb", 64_000).put("Gpu", 0))
                .put("Labels", new JsonArray().add("a").add(rack))
                .put("born", born)
                .put("Sequence", ++sequence)
                .toBuffer());
      }
    }

    void handle(HttpServerRequest request, Buffer body) {
      if (!up) {
        request.connection().close();
        return;
      }
      String expected = request.getHeader("Hickorypier-Expect-Instance");
      if (expected != null && !expected.equals(id)) {
        answer(request, 421, new JsonObject());
        return;
      }
      JsonObject order = body.toJsonObject();
      expire();
      long present = order.getLong("FencingToken", 0L);
      if (present < token) {
        answer(request, 409, clockBody().put("Reason", "fence"));
        return;
      }
      token = present;
      switch (request.path()) {
        case "/hickorypier/run-start" -> start(request, order);
        case "/hickorypier/run-stop" -> stop(request, order);
        case "/hickorypier/hold" -> {
          extend(order.getLong("DeadlineMs", 0L));
          long seenUpto = order.getLong("SeenUpto", 0L);
          while (!ended.isEmpty() && ended.get(0).getLong(0) <= seenUpto) {
            JsonArray row = ended.remove(0);
            seen.accept(
                "noted " + id + " " + row.getString(1) + " " + row.getInteger(2) + " "
                    + row.getString(3));
          }
          hold(request, now() + Math.min(2_000, order.getLong("WaitMs", 0L)));
        }
        default -> answer(request, 400, new JsonObject());
      }
    }

    private JsonObject clockBody() {
      return new JsonObject().put("ClockMs", clock()).put("born", born);
    }

    private void extend(long deadline) {
      lease = Math.max(lease, Math.min(deadline, clock() + HOLD_MAX_MILLIS));
    }

    private void expire() {
      if (clock() > lease && !running.isEmpty()) {
        note("worker " + id + ": the lease has lapsed, " + running.size() + " runs are killed");
        seen.accept("lapsed " + id);
        for (Object[] each : new ArrayList<>(running.values())) {
          end((String) each[0], (Integer) each[1], "lapsed");
        }
      }
    }

    private void start(HttpServerRequest request, JsonObject order) {
      String task = order.getString("Task");
      int run = order.getInteger("Run");
      long deadline = order.getLong("DeadlineMs", 0L);
      extend(deadline);
      Object[] there = running.get(task);
      if (there != null && (Integer) there[1] == run) {
        answer(request, 200, clockBody());
      } else if (run <= closed.getOrDefault(task, 0)) {
        answer(request, 409, clockBody().put("Reason", "old"));
      } else if (deadline < clock()) {
        answer(request, 409, clockBody().put("Reason", "late"));
      } else {
        String spec = order.getString("Spec", "");
        long millis = work.millis(spec, task, run);
        running.put(task, new Object[] {task, run, clock(), millis});
        starts++;
        seen.accept("start " + id + " " + task + " " + run);
        long life = born;
        vertx.setTimer(
            Math.max(1, millis),
            timer -> {
              Object[] still = running.get(task);
              if (up && born == life && still != null && (Integer) still[1] == run) {
                expire();
                if (running.get(task) == still) {
                  end(task, run, work.end(spec, task, run));
                }
              }
            });
        answer(request, 200, clockBody());
      }
    }

    private void stop(HttpServerRequest request, JsonObject order) {
      String task = order.getString("Task");
      int run = order.getInteger("Run");
      closed.merge(task, run, Math::max);
      Object[] there = running.get(task);
      if (there != null && (Integer) there[1] <= run) {
        end(task, (Integer) there[1], "stopped");
      }
      answer(request, 200, clockBody());
    }

    private void end(String task, int run, String how) {
      running.remove(task);
      closed.merge(task, run, Math::max);
      ended.add(new JsonArray().add(++number).add(task).add(run).add(how).add(""));
      ends++;
      seen.accept("end " + id + " " + task + " " + run + " " + how);
      List<Runnable> all = new ArrayList<>(waiting);
      waiting.clear();
      all.forEach(Runnable::run);
    }

    private void hold(HttpServerRequest request, long until) {
      if (!up) {
        request.connection().close();
        return;
      }
      if (ended.isEmpty() && now() < until) {
        boolean[] done = new boolean[1];
        Runnable again =
            () -> {
              if (!done[0]) {
                done[0] = true;
                hold(request, until);
              }
            };
        waiting.add(again);
        vertx.setTimer(Math.max(1, until - now()), id -> again.run());
        return;
      }
      expire();
      JsonArray rows = new JsonArray();
      for (Object[] each : running.values()) {
        long percent =
            Math.min(99, 100 * (clock() - (Long) each[2]) / Math.max(1, (Long) each[3]));
        rows.add(new JsonArray().add(each[0]).add(each[1]).add("").add(percent).add(0));
      }
      JsonArray listed = new JsonArray();
      ended.stream().limit(500).forEach(listed::add);
      answer(request, 200, clockBody().put("Running", rows).put("Ended", listed));
    }
  }

  // ---------------------------------------------------------------- instances

  /** One instance, started with the command of the deploy file; restarted when it ends. */
  final class Instance {
    final int index;
    final int front = freePort();
    final int ready = freePort();
    final int peer = freePort();
    final Path settings;
    final Path output;
    Process process;
    boolean ended;
    boolean killed;
    long downFor;
    final List<String> exits = new ArrayList<>();

    Instance(int index, int storePort) throws IOException {
      this.index = index;
      settings = folder.resolve("instance-" + index + ".json");
      output = folder.resolve("instance-" + index + ".log");
      JsonObject json =
          new JsonObject()
              .put("name", "instance-" + index)
              .put("dataCentre", "a")
              .put("address", LOOPBACK)
              .put("peerPort", peer)
              .put("metricsPort", 0)
              .put("front", LOOPBACK + ":" + front)
              .put("ready", LOOPBACK + ":" + ready)
              .put("store", LOOPBACK + ":" + storePort)
              .put("advisor", "")
              .put("processorShare", 0.75)
              .put("processorSpeed", 1)
              .put("linkMegabits", 1000.0)
              .put("longestLeaseMillis", HOLD_MAX_MILLIS)
              .put("gangMillis", 3_000)
              .put("revokeMillis", 5_000)
              .put("stopMillis", STOP_MILLIS)
              .put("restoreMillis", 600)
              .put("saveSeconds", 0.5)
              .put("stateKeptSeconds", 120)
              .put("graceSeconds", 6)
              .put("leastGroupLifetimeMillis", 1_000)
              .put("workerHeartbeatMillis", HEARTBEAT_MILLIS);
      Files.writeString(settings, json.encodePrettily());
    }

    synchronized void start() throws IOException {
      List<String> command = new ArrayList<>(deployCommand());
      command.removeIf(word -> word.startsWith("--settings="));
      command.add("--settings=" + settings);
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
      process = builder.start();
      note("instance " + index + " starts, process " + process.pid());
      process
          .onExit()
          .thenAccept(
              gone -> {
                if (!ended) {
                  if (!killed) {
                    exits.add(now() + " ms: exit " + gone.exitValue());
                    note("instance " + index + " ended by itself, exit " + gone.exitValue());
                  }
                  long pause = killed ? downFor : RESTART_MILLIS;
                  killed = false;
                  vertx.setTimer(
                      pause,
                      timer -> {
                        try {
                          if (!ended) {
                            start();
                          }
                        } catch (IOException error) {
                          note("instance " + index + " cannot start: " + error);
                        }
                      });
                }
              });
    }

    /** SIGKILL; the platform starts the process again after the time. */
    synchronized void kill(long downMillis) {
      killed = true;
      downFor = downMillis;
      note("instance " + index + " is killed, process " + process.pid());
      process.destroyForcibly();
    }

    synchronized void end() {
      ended = true;
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  static List<String> deployCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no run command in deploy/system.toml");
    }
    return Arrays.asList(run.group(1).split(" "));
  }

  // ---------------------------------------------------------------- operator and callers

  void configure(JsonArray routes, JsonArray tenants) {
    store.put(
        "keyed.op",
        "config",
        new JsonObject()
            .put("Version", 7)
            .put("Routes", routes)
            .put(
                "Services",
                new JsonArray().add(new JsonObject().put("Name", SERVICE).put("AdmissionControl", false)))
            .put("Tenants", tenants)
            .toBuffer());
  }

  static JsonObject route(String name, String prefix, int priority, int attempts) {
    return new JsonObject()
        .put("Name", name)
        .put("Host", HOST)
        .put("Prefix", prefix)
        .put("Kind", "unsafe")
        .put("TimeoutMs", 3_000)
        .put("SloMs", 2_500)
        .put("Priority", priority)
        .put("Service", SERVICE)
        .put("Attempts", attempts)
        .put("Stretch", 2.0)
        .put("Public", false);
  }

  static JsonObject tenant(String name, String key) {
    return new JsonObject()
        .put("Name", name)
        .put("ApiKeys", new JsonArray().add(key))
        .put("Weight", 1_000)
        .put("UpperLimit", new JsonObject().put("Cpu", 0).put("MemMb", 0).put("Gpu", 0));
  }

  record Reply(int status, String body) {}

  /** Calls whose path begins so are recorded 300 times at most; null for no limit. */
  volatile String quiet;

  private int recorded;

  /** One call of a consumer at one instance; status 0 if there is no answer within its time. */
  Future<Reply> call(Instance at, HttpMethod method, String path, String key, String body) {
    Promise<Reply> promise = Promise.promise();
    vertx.setTimer(3_000, timer -> promise.tryComplete(new Reply(0, "no answer")));
    client
        .request(method, at.front, LOOPBACK, path)
        .compose(
            request -> {
              request.putHeader("Host", HOST);
              request.putHeader("Authorization", "Bearer " + key);
              request.putHeader("Hickorypier-Deadline-Ms", "3000");
              return body == null
                  ? request.send()
                  : request.putHeader("Content-Type", "application/json").send(body);
            })
        .compose(
            response -> response.body().map(text -> new Reply(response.statusCode(), "" + text)))
        .onSuccess(promise::tryComplete)
        .onFailure(error -> promise.tryComplete(new Reply(0, "" + error.getMessage())));
    return promise
        .future()
        .onSuccess(
            reply -> {
              String answer = reply.body();
              if (quiet == null || !path.startsWith(quiet) || recorded++ < 300) {
                note(
                    method + " " + path + " at instance " + at.index + " -> " + reply.status() + " "
                        + (answer.length() > 90 ? answer.substring(0, 90) : answer));
              }
            });
  }

  void begin(
      int instanceCount, int workerCount, long cpuEach, JsonArray routes, JsonArray tenants)
      throws Exception {
    onLoop(() -> configure(routes, tenants));
    for (int index = 0; index < workerCount; index++) {
      Worker worker = new Worker("w-" + index, cpuEach, "r1-" + index / 8);
      workers.add(worker);
      wait(worker.listen());
    }
    for (int index = 0; index < instanceCount; index++) {
      Instance instance = new Instance(index, wait(store.listenFor(index)));
      instances.add(instance);
      instance.start();
    }
    for (Instance instance : instances) {
      long until = now() + 20_000;
      while (!isReady(instance)) {
        if (now() > until) {
          throw new IllegalStateException("instance " + instance.index + " is not ready");
        }
        Thread.sleep(100);
      }
    }
    note("all instances are ready");
  }

  private boolean isReady(Instance instance) throws Exception {
    return wait(
        client
            .request(HttpMethod.GET, instance.ready, LOOPBACK, "/hickorypier/ready")
            .compose(request -> request.send())
            .compose(response -> response.body().map(body -> response.statusCode() == 200))
            .otherwise(false));
  }

  void end() throws Exception {
    instances.forEach(Instance::end);
    for (Instance instance : instances) {
      if (instance.process != null) {
        instance.process.waitFor(5, TimeUnit.SECONDS);
      }
    }
    if (System.getenv("KEEP_LOGS") == null) {
      File[] files = folder.toFile().listFiles();
      for (File file : files == null ? new File[0] : files) {
        file.delete();
      }
      folder.toFile().delete();
    } else {
      note("logs in " + folder);
    }
    record.close();
    vertx.close();
  }
}
