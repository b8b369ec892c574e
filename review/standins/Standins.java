import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the platform's store, the workers and the callers, written from PROTOCOL.md, and
 * the instances as the deploy file starts them. Everything is on loopback addresses.
 */
final class Standins {

  static final long BEGAN = System.nanoTime();
  private static final Random RANDOM = new Random();
  private static final Set<Integer> TAKEN = new HashSet<>();

  private Standins() {}

  static long now() {
    return (System.nanoTime() - BEGAN) / 1_000_000;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException error) {
      throw new IllegalStateException(error);
    }
  }

  /** Returns a port below those that outgoing connections take, so that none of them has it soon. */
  static synchronized int freePort() throws IOException {
    while (true) {
      int port = 12_000 + RANDOM.nextInt(18_000);
      if (TAKEN.add(port)) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
          return socket.getLocalPort();
        } catch (IOException taken) {
          // Another process has it.
        }
      }
    }
  }

  /** The record of what was sent, answered and run. */
  static final class Recorder implements Closeable {
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void add(String line) {
      out.printf("%8.3f s  %s%n", now() / 1000.0, line);
    }

    @Override
    public synchronized void close() {
      out.close();
    }
  }

  /** An HTTP/1.1 server whose handler threads may block. */
  static final class Server implements Closeable {

    interface Handler {
      void handle(HttpExchange exchange, byte[] body) throws Exception;
    }

    private final HttpServer server;
    private final java.util.concurrent.ExecutorService threads;

    Server(int port, Handler handler) throws IOException {
      server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 128);
      threads =
          Executors.newCachedThreadPool(
              task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
              });
      server.setExecutor(threads);
      server.createContext(
          "/",
          exchange -> {
            try {
              handler.handle(exchange, exchange.getRequestBody().readAllBytes());
            } catch (IOException | InterruptedException closed) {
              exchange.close();
            } catch (Exception error) {
              error.printStackTrace();
              exchange.close();
            }
          });
      server.start();
    }

    static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
      exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
      if (body.length > 0) {
        exchange.getResponseBody().write(body);
      }
      exchange.close();
    }

    static void answer(HttpExchange exchange, int status, JsonObject body) throws IOException {
      answer(exchange, status, body.encode().getBytes(StandardCharsets.UTF_8));
    }

    static Map<String, String> query(HttpExchange exchange) {
      Map<String, String> values = new HashMap<>();
      String query = exchange.getRequestURI().getQuery();
      if (query != null) {
        for (String each : query.split("&")) {
          int equals = each.indexOf('=');
          values.put(each.substring(0, equals), each.substring(equals + 1));
        }
      }
      return values;
    }

    @Override
    public void close() {
      server.stop(0);
      threads.shutdownNow();
    }
  }

  /** The platform's store, as a log. */
  static final class Store {
    private static final int PARTS = 12;
    private static final long LAPSE_MILLIS = 4_500;

    final int port;
    private final Server server;
    private final Map<String, Part> parts = new HashMap<>();
    private final Map<String, Group> groups = new HashMap<>();
    private final Map<String, Long> beats = new HashMap<>();
    private volatile long answerMillis = 4;

    private static final class Part {
      final List<byte[]> records = new ArrayList<>();
      final Map<String, Producer> producers = new HashMap<>();
      final Map<String, byte[]> newest = new TreeMap<>();
    }

    private static final class Producer {
      long epoch = -1;
      long sequence;
      final LinkedHashMap<Long, long[]> answers = new LinkedHashMap<>();
    }

    private static final class Group {
      final TreeMap<String, Long> aliveUntil = new TreeMap<>();
      long generation;
    }

    Store() throws IOException {
      port = freePort();
      server = new Server(port, this::handle);
      Thread lapses = new Thread(this::lapse);
      lapses.setDaemon(true);
      lapses.start();
    }

    /** Sets how long each answer takes. */
    void answerMillis(long millis) {
      answerMillis = millis;
    }

    private void handle(HttpExchange exchange, byte[] body) throws Exception {
      Map<String, String> query = Server.query(exchange);
      String path = exchange.getRequestURI().getPath();
      if (path.endsWith("log-append")) {
        append(exchange, query, body);
      } else if (path.endsWith("log-read")) {
        read(exchange, query);
      } else if (path.endsWith("log-newest")) {
        newest(exchange, query);
      } else if (path.endsWith("log-join")) {
        join(exchange, new JsonObject(new String(body, StandardCharsets.UTF_8)));
      } else if (path.endsWith("log-leave")) {
        JsonObject request = new JsonObject(new String(body, StandardCharsets.UTF_8));
        synchronized (this) {
          Group group = groups.computeIfAbsent(request.getString("group"), key -> new Group());
          if (group.aliveUntil.remove(request.getString("Member")) != null) {
            group.generation++;
          }
        }
        answer(exchange, 200, new JsonObject());
      } else {
        answer(exchange, 404, new JsonObject());
      }
    }

    private void answer(HttpExchange exchange, int status, JsonObject body) throws IOException {
      sleep(answerMillis);
      Server.answer(exchange, status, body);
    }

    private synchronized Part part(String topic, String number) {
      return parts.computeIfAbsent(topic + "/" + number, key -> new Part());
    }

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
        throws IOException {
      JsonObject reply = new JsonObject();
      int status = 200;
      synchronized (this) {
        String topic = query.get("Topic");
        Part part = part(topic, query.get("part"));
        List<byte[]> records = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
          byte[] record = new byte[buffer.getInt()];
          buffer.get(record);
          records.add(record);
        }
        Producer producer = null;
        long sequence = 0;
        if (query.containsKey("Producer")) {
          producer = part.producers.computeIfAbsent(query.get("Producer"), key -> new Producer());
          long epoch = Long.parseLong(query.get("epoch"));
          sequence = Long.parseLong(query.getOrDefault("Sequence", "0"));
          if (epoch < producer.epoch) {
            status = 409;
            reply.put("Reason", "fenced");
          } else if (epoch == producer.epoch && producer.answers.containsKey(sequence)) {
            long[] first = producer.answers.get(sequence);
            reply.put("Offset", first[0]).put("End", first[1]);
            records = null;
          } else if (epoch == producer.epoch
              && !records.isEmpty()
              && sequence != producer.sequence + 1) {
            status = 409;
            reply.put("Reason", "seq").put("Sequence", producer.sequence + 1);
          }
        }
        if (status == 200
            && records != null
            && query.containsKey("At")
            && Long.parseLong(query.get("At")) != part.records.size()) {
          status = 412;
          reply.put("End", part.records.size());
        }
        if (status == 200 && records != null) {
          long offset = part.records.size();
          records.forEach(record -> add(topic, part, record));
          reply.put("Offset", offset).put("End", part.records.size());
          if (producer != null) {
            long epoch = Long.parseLong(query.get("epoch"));
            if (epoch > producer.epoch) {
              producer.epoch = epoch;
              producer.answers.clear();
              producer.sequence = sequence - 1;
            }
            if (!records.isEmpty()) {
              producer.sequence = sequence;
              producer.answers.put(sequence, new long[] {offset, part.records.size()});
              if (producer.answers.size() > 5) {
                producer.answers.remove(producer.answers.keySet().iterator().next());
              }
            }
          }
          notifyAll();
        }
      }
      answer(exchange, status, reply);
    }

    private static void add(String topic, Part part, byte[] record) {
      part.records.add(record);
      if (topic.startsWith("keyed.")) {
        int length = record[0] & 0xff;
        String key = new String(record, 1, length, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(record, 1 + length, record.length);
        if (value.length == 0) {
          part.newest.remove(key);
        } else {
          part.newest.put(key, value);
        }
      }
    }

    /** Writes a record of the operator or of a worker. */
    synchronized void put(String topic, String key, byte[] value) {
      byte[] name = key.getBytes(StandardCharsets.UTF_8);
      ByteArrayOutputStream record = new ByteArrayOutputStream();
      record.write(name.length);
      record.writeBytes(name);
      record.writeBytes(value);
      add(topic, part(topic, "0"), record.toByteArray());
      notifyAll();
    }

    synchronized void beat(String id, JsonObject entry) {
      beats.put(id, now());
      put("keyed.servers", id, entry.encode().getBytes(StandardCharsets.UTF_8));
    }

    private void lapse() {
      while (true) {
        sleep(100);
        synchronized (this) {
          beats
              .entrySet()
              .removeIf(
                  each -> {
                    boolean lapsed = now() - each.getValue() > LAPSE_MILLIS;
                    if (lapsed) {
                      put("keyed.servers", each.getKey(), new byte[0]);
                    }
                    return lapsed;
                  });
        }
      }
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws Exception {
      int from = Integer.parseInt(query.get("From"));
      long until = now() + Long.parseLong(query.getOrDefault("WaitMs", "0"));
      int most = 1024 * Integer.parseInt(query.getOrDefault("MaxKb", "1024"));
      ByteArrayOutputStream reply = new ByteArrayOutputStream();
      synchronized (this) {
        Part part = part(query.get("Topic"), query.get("part"));
        while (part.records.size() <= from && now() < until) {
          wait(Math.max(1, until - now()));
        }
        reply.writeBytes(
            ByteBuffer.allocate(16).putLong(part.records.size()).putLong(0).array());
        for (int index = from; index < part.records.size() && reply.size() < most; index++) {
          byte[] record = part.records.get(index);
          reply.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
          reply.writeBytes(record);
        }
      }
      sleep(answerMillis);
      Server.answer(exchange, 200, reply.toByteArray());
    }

    private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
      JsonArray items = new JsonArray();
      boolean more = false;
      long end;
      synchronized (this) {
        Part part = part(query.get("Topic"), query.get("part"));
        end = part.records.size();
        String after = query.get("DependsOn");
        for (Map.Entry<String, byte[]> each : part.newest.entrySet()) {
          if (after != null && each.getKey().compareTo(after) <= 0) {
            continue;
          }
          if (items.size() == 500) {
            more = true;
            break;
          }
          items.add(
              new JsonObject()
                  .put("Key", each.getKey())
                  .put("Value", Base64.getEncoder().encodeToString(each.getValue()))
                  .put("Offset", 0));
        }
      }
      answer(
          exchange,
          200,
          new JsonObject().put("items", items).put("HasMore", more).put("End", end));
    }

    private void join(HttpExchange exchange, JsonObject request) throws IOException {
      JsonArray rows = new JsonArray();
      long generation;
      synchronized (this) {
        Group group = groups.computeIfAbsent(request.getString("group"), key -> new Group());
        if (group.aliveUntil.values().removeIf(until -> until < now())) {
          group.generation++;
        }
        String member = request.getString("Member");
        if (!group.aliveUntil.containsKey(member)) {
          group.generation++;
        }
        group.aliveUntil.put(member, now() + request.getLong("TtlMs"));
        generation = group.generation;
        List<String> members = new ArrayList<>(group.aliveUntil.keySet());
        for (int number = 0; number < PARTS; number++) {
          if (members.get(number % members.size()).equals(member)) {
            rows.add(
                new JsonArray()
                    .add(request.getJsonArray("Topics").getString(0))
                    .add(number)
                    .add(0));
          }
        }
      }
      answer(exchange, 200, new JsonObject().put("Generation", generation).put("parts", rows));
    }
  }

  /** What a script sees of the runs on its workers. */
  interface RunObserver {
    void started(String worker, String task, int run);

    void ended(String worker, String task, int run, String how);
  }

  /** A worker. The text of a submission is the milliseconds that each of its tasks works. */
  static final class Worker {
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long HOLD_MAX_MILLIS = 10_000;

    final String id;
    private final int port;
    private final Store store;
    private final Recorder recorder;
    private final RunObserver observer;
    private List<String> labels;
    private final long processors;
    private Server server;
    private Life life;
    private long sequence;

    private static final class Present {
      final String task;
      final int run;
      final long beganAt;
      final long millis;

      Present(String task, int run, long beganAt, long millis) {
        this.task = task;
        this.run = run;
        this.beganAt = beganAt;
        this.millis = millis;
      }
    }

    /** The state of one lifetime. */
    private static final class Life {
      final long born = System.currentTimeMillis();
      final long beganAt = now();
      final Map<String, Present> running = new LinkedHashMap<>();
      final Map<String, Integer> closed = new HashMap<>();
      final List<JsonArray> ended = new ArrayList<>();
      long token;
      long lease;
      long number;

      long clock() {
        return now() - beganAt;
      }
    }

    Worker(
        String id,
        Store store,
        Recorder recorder,
        RunObserver observer,
        List<String> labels,
        long processors)
        throws IOException {
      this.id = id;
      this.store = store;
      this.recorder = recorder;
      this.observer = observer;
      this.labels = labels;
      this.processors = processors;
      this.port = freePort();
      Thread clock = new Thread(this::work);
      clock.setDaemon(true);
      clock.start();
    }

    /** Begins a lifetime. */
    synchronized void begin() throws IOException {
      life = new Life();
      sequence = 0;
      server = new Server(port, this::handle);
      recorder.add("worker " + id + " starts, labels " + labels);
      beat();
    }

    /** Begins a lifetime of another kind. */
    synchronized void begin(List<String> newLabels) throws IOException {
      labels = newLabels;
      begin();
    }

    synchronized boolean has(String label) {
      return labels.contains(label);
    }

    /** Ends the lifetime without a word. */
    synchronized void crash() {
      Life ended = life;
      life = null;
      server.close();
      recorder.add("worker " + id + " crashes with " + ended.running.keySet());
      ended.running.values().forEach(each -> observer.ended(id, each.task, each.run, "crashed"));
      notifyAll();
    }

    synchronized boolean isUp() {
      return life != null;
    }

    synchronized boolean runs(String submission) {
      return life != null
          && life.running.keySet().stream().anyMatch(key -> key.startsWith(submission));
    }

    private void beat() {
      store.beat(
          id,
          new JsonObject()
              .put("Service", "desk")
              .put("Address", "127.0.0.1:" + port)
              .put("Zone", "a")
              .put("Version", "v1")
              .put("Slots", 8)
              .put("State", "ready")
              .put("ColdLeftMs", 0)
              .put(
                  "Capacity",
                  new JsonObject().put("Cpu", processors).put("MemMb", 65_536).put("Gpu", 0))
              .put("Labels", new JsonArray(labels))
              .put("ClockMs", life.clock())
              .put("born", life.born)
              .put("Sequence", ++sequence));
    }

    private void work() {
      long beatAt = now() + HEARTBEAT_MILLIS;
      while (true) {
        sleep(10);
        synchronized (this) {
          if (life == null) {
            beatAt = now() + HEARTBEAT_MILLIS;
            continue;
          }
          for (Present each : List.copyOf(life.running.values())) {
            if (now() - each.beganAt >= each.millis) {
              end(each, "done");
            } else if (life.clock() > life.lease) {
              end(each, "lapsed");
            }
          }
          if (now() >= beatAt) {
            beatAt = now() + HEARTBEAT_MILLIS;
            beat();
          }
        }
      }
    }

    private void end(Present each, String how) {
      if (life.running.remove(each.task + "#" + each.run) != null) {
        life.closed.merge(each.task, each.run, Math::max);
        life.ended.add(
            new JsonArray().add(++life.number).add(each.task).add(each.run).add(how).add(""));
        observer.ended(id, each.task, each.run, how);
        notifyAll();
      }
    }

    private void handle(HttpExchange exchange, byte[] body) throws Exception {
      String expected = exchange.getRequestHeaders().getFirst("Hickorypier-Expect-Instance");
      if (expected != null && !expected.equals(id)) {
        Server.answer(exchange, 421, new byte[0]);
        return;
      }
      JsonObject order = new JsonObject(new String(body, StandardCharsets.UTF_8));
      String path = exchange.getRequestURI().getPath();
      int status = 200;
      JsonObject reply = new JsonObject();
      synchronized (this) {
        Life present = life;
        if (present == null) {
          exchange.close();
          return;
        }
        String refusal = null;
        if (order.getLong("FencingToken", 0L) < present.token) {
          refusal = "fence";
        } else {
          present.token = order.getLong("FencingToken", 0L);
          long deadline = order.getLong("DeadlineMs", 0L);
          present.lease =
              Math.max(
                  present.lease, Math.min(deadline, present.clock() + HOLD_MAX_MILLIS));
          if (path.endsWith("run-start")) {
            refusal = start(order);
          } else if (path.endsWith("run-stop")) {
            stop(order);
          } else if (path.endsWith("hold")) {
            hold(order, reply);
            if (life != present) {
              exchange.close();
              return;
            }
          } else {
            status = 404;
          }
        }
        if (refusal != null) {
          status = 409;
          reply.put("Reason", refusal);
        }
        reply.put("ClockMs", present.clock());
      }
      Server.answer(exchange, status, reply);
    }

    private String start(JsonObject order) {
      String task = order.getString("Task");
      int run = order.getInteger("Run");
      if (life.running.containsKey(task + "#" + run)) {
        return null;
      }
      if (run <= life.closed.getOrDefault(task, 0)) {
        return "old";
      }
      if (order.getLong("DeadlineMs", 0L) < life.clock()) {
        return "late";
      }
      long millis = Long.parseLong(order.getString("Spec"));
      life.running.put(task + "#" + run, new Present(task, run, now(), millis));
      observer.started(id, task, run);
      return null;
    }

    private void stop(JsonObject order) {
      String task = order.getString("Task");
      int run = order.getInteger("Run");
      life.closed.merge(task, run, Math::max);
      Present present = life.running.get(task + "#" + run);
      if (present != null) {
        end(present, "stopped");
      }
    }

    private void hold(JsonObject order, JsonObject reply) throws InterruptedException {
      Life present = life;
      long seen = order.getLong("SeenUpto", 0L);
      present.ended.removeIf(row -> row.getLong(0) <= seen);
      long until = now() + order.getLong("WaitMs", 0L);
      while (life == present && present.ended.isEmpty() && now() < until) {
        wait(Math.max(1, until - now()));
      }
      JsonArray running = new JsonArray();
      for (Present each : present.running.values()) {
        long percent = Math.min(99, 100 * (now() - each.beganAt) / Math.max(1, each.millis));
        running.add(new JsonArray().add(each.task).add(each.run).add("").add(percent).add(0));
      }
      reply.put("Running", running);
      reply.put("Ended", new JsonArray(present.ended.subList(0, Math.min(500, present.ended.size()))));
      reply.put("born", present.born);
    }
  }

  /** An answer to a caller; status 0 if there was none. */
  static final class Answer {
    final int status;
    final String body;

    Answer(int status, String body) {
      this.status = status;
      this.body = body;
    }

    @Override
    public String toString() {
      return status == 0 ? "no answer" : status + " " + body;
    }
  }

  /** A caller: each call has a connection of its own. */
  static final class Caller {
    static final String HOST = "desk.example";
    static final String KEY = "key-of-school";
    private final Recorder recorder;

    Caller(Recorder recorder) {
      this.recorder = recorder;
    }

    /**
     * Sends a call and waits for its answer.
     *
     * @param leaveMillis how long this caller stays; then it closes its connection
     */
    Answer call(int port, String method, String path, JsonObject body, long leaveMillis) {
      String name = method + " " + path + " at instance on port " + port;
      recorder.add("caller sends " + name);
      Answer answer = new Answer(0, "");
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.setTcpNoDelay(true);
        byte[] content = body == null ? new byte[0] : body.encode().getBytes(StandardCharsets.UTF_8);
        String head =
            method
                + " "
                + path
                + " HTTP/1.1\r\nHost: "
                + HOST
                + "\r\nAuthorization: Bearer "
                + KEY
                + "\r\nHickorypier-Deadline-Ms: 3000\r\nContent-Type: application/json\r\n"
                + "Connection: close\r\nContent-Length: "
                + content.length
                + "\r\n\r\n";
        OutputStream out = socket.getOutputStream();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        all.writeBytes(content);
        out.write(all.toByteArray());
        out.flush();
        long until = now() + leaveMillis;
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream reply = new ByteArrayOutputStream();
        byte[] buffer = new byte[4096];
        while (now() < until) {
          socket.setSoTimeout((int) Math.max(1, until - now()));
          int count = in.read(buffer);
          if (count < 0) {
            break;
          }
          reply.write(buffer, 0, count);
        }
        String text = reply.toString(StandardCharsets.UTF_8);
        int end = text.indexOf("\r\n\r\n");
        if (end > 0) {
          answer = new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4));
        }
      } catch (IOException none) {
        // The connection broke, or this caller has left before an answer.
      }
      recorder.add("caller has " + answer + " to " + name);
      return answer;
    }
  }

  /** An instance, started by the command of the deploy file with its filled-in template. */
  static final class Instance implements Closeable {
    final int front;
    private final int ready;
    private final Process process;

    Instance(Path root, Path folder, int index, int storePort) throws IOException {
      front = freePort();
      ready = freePort();
      String template = Files.readString(root.resolve("deploy/settings.json"));
      JsonObject values =
          new JsonObject()
              .put("NodeName", "front-a-" + index)
              .put("Zone", "a")
              .put("Ip", "127.0.0.1")
              .put("PortRange", new JsonArray().add(freePort()))
              .put("Advice", "")
              .put("HeartbeatMs", 1500)
              .put(
                  "ListenAddrs",
                  new JsonObject()
                      .put("Front", "127.0.0.1:" + front)
                      .put("Ready", "127.0.0.1:" + ready))
              .put("platform", new JsonObject().put("Address", "127.0.0.1:" + storePort).put("TtlMinMs", 1000))
              .put(
                  "Limits",
                  new JsonObject().put("CpuShare", 0.75).put("Cores", 1).put("LinkMbps", 1000.0))
              .put(
                  "Bounds",
                  new JsonObject()
                      .put("HoldMaxMs", 10000)
                      .put("GangMs", 3000)
                      .put("RevokeMs", 5000)
                      .put("StopMs", 900)
                      .put("RestoreMs", 250)
                      .put("SaveS", 0.5)
                      .put("status_s", 120)
                      .put("GraceS", 6));
      JsonObject settings = new JsonObject(fill(template, values));
      // Several instances share one address here, so none of them serves its metrics.
      settings.put("metricsPort", 0);
      Path file = folder.resolve("instance-" + index + ".json");
      Files.writeString(file, settings.encodePrettily());
      Matcher run =
          Pattern.compile("(?m)^run = \"(.*)\"$")
              .matcher(Files.readString(root.resolve("deploy/system.toml")));
      if (!run.find()) {
        throw new IOException("deploy/system.toml has no line run");
      }
      List<String> command = new ArrayList<>();
      for (String word : run.group(1).split(" ")) {
        command.add(word.startsWith("--settings=") ? "--settings=" + file : word);
      }
      ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
      builder.redirectErrorStream(true);
      builder.redirectOutput(folder.resolve("instance-" + index + ".log").toFile());
      process = builder.start();
    }

    private static String fill(String template, JsonObject values) {
      Matcher section =
          Pattern.compile("(?s)\\{\\{#([A-Za-z_.]+)}}(.*?)\\{\\{/\\1}}").matcher(template);
      String kept =
          section.replaceAll(
              found ->
                  value(values, found.group(1)) == null
                      ? ""
                      : Matcher.quoteReplacement(found.group(2)));
      return Pattern.compile("\\{\\{([A-Za-z_.0-9]+)(\\|json)?}}")
          .matcher(kept)
          .replaceAll(
              found -> {
                Object value = value(values, found.group(1));
                String text =
                    found.group(2) != null && value instanceof String
                        ? "\"" + value + "\""
                        : String.valueOf(value);
                return Matcher.quoteReplacement(text);
              });
    }

    private static Object value(JsonObject values, String name) {
      Object found = values;
      for (String part : name.split("\\.")) {
        if (found instanceof JsonObject object) {
          found = object.getValue(part);
        } else if (found instanceof JsonArray array) {
          found = array.getValue(Integer.parseInt(part));
        }
      }
      return found;
    }

    boolean isReady() {
      try (Socket socket = new Socket("127.0.0.1", ready)) {
        socket.setSoTimeout(500);
        socket
            .getOutputStream()
            .write(
                "GET /hickorypier/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.UTF_8));
        byte[] head = new byte[12];
        int count = socket.getInputStream().readNBytes(head, 0, head.length);
        return count == head.length
            && new String(head, StandardCharsets.UTF_8).endsWith(" 200");
      } catch (IOException none) {
        return false;
      }
    }

    void signal(String name) throws IOException {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start();
    }

    @Override
    public void close() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException error) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** A case: returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  interface Case {
    int run(Deployment site, boolean trouble) throws Exception;
  }

  /** Runs a case and exits with its code; with 2 if it fails by itself or takes too long. */
  static void main(String[] arguments, int instances, Case body) {
    Thread watchdog =
        new Thread(
            () -> {
              sleep(112_000);
              System.err.println("the case takes too long");
              System.exit(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    int code = 2;
    try (Deployment site =
        new Deployment(Path.of(arguments[0]), Path.of(arguments[1]), instances)) {
      code = body.run(site, !"0".equals(System.getenv("TROUBLE")));
      site.recorder.add("exit code " + code);
    } catch (Exception error) {
      error.printStackTrace();
    }
    System.exit(code);
  }

  /** A small deployment: a store, workers and three instances. */
  static final class Deployment implements Closeable {
    final Recorder recorder;
    final Store store;
    final List<Worker> workers = Collections.synchronizedList(new ArrayList<>());
    final List<Instance> instances = new ArrayList<>();
    final Caller caller;
    private final Path folder;

    Deployment(Path root, Path record, int count) throws IOException {
      System.setProperty("sun.net.httpserver.nodelay", "true");
      recorder = new Recorder(record);
      caller = new Caller(recorder);
      folder = Files.createTempDirectory("hickorypier-review");
      store = new Store();
      for (int index = 0; index < count; index++) {
        instances.add(new Instance(root, folder, index, store.port));
      }
      Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    void configure(JsonArray routes) {
      store.put(
          "keyed.op",
          "config",
          new JsonObject()
              .put("Version", 3)
              .put("Routes", routes)
              .put("Services", new JsonArray().add(new JsonObject().put("Name", "desk").put("AdmissionControl", false)))
              .put(
                  "Tenants",
                  new JsonArray()
                      .add(
                          new JsonObject()
                              .put("Name", "school")
                              .put("ApiKeys", new JsonArray().add(Caller.KEY))
                              .put("Weight", 50)
                              .put(
                                  "UpperLimit",
                                  new JsonObject().put("Cpu", 0).put("MemMb", 0).put("Gpu", 0))))
              .encode()
              .getBytes(StandardCharsets.UTF_8));
    }

    static JsonObject route(String name, int priority, int attempts, double stretch, long slo) {
      return new JsonObject()
          .put("Name", "r-" + name)
          .put("Host", Caller.HOST)
          .put("Prefix", "/" + name + "/")
          .put("Kind", "unsafe")
          .put("TimeoutMs", 3000)
          .put("SloMs", slo)
          .put("Priority", priority)
          .put("Service", "desk")
          .put("Attempts", attempts)
          .put("Stretch", stretch)
          .put("Public", false);
    }

    /** Waits until all instances are ready; returns false if they are not in time. */
    boolean awaitReady(long millis) {
      long until = now() + millis;
      while (!instances.stream().allMatch(Instance::isReady)) {
        if (now() > until) {
          return false;
        }
        sleep(200);
      }
      recorder.add("all instances are ready");
      return true;
    }

    private void end() {
      instances.forEach(Instance::close);
      recorder.close();
      File[] files = folder.toFile().listFiles();
      if (System.getenv("KEEP_LOGS") == null && files != null) {
        Arrays.stream(files).forEach(File::delete);
        folder.toFile().delete();
      }
    }

    @Override
    public void close() {
      end();
    }
  }
}
