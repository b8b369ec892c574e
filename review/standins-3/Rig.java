import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Store, workers, operator and instances of a small deployment on loopback addresses. */
final class Rig implements AutoCloseable {

  static final String SERVICE = "suscripciones";
  static final String HOST = "nony24.example";
  static final String PREFIX = "/lohu930/";

  /** The queue of more urgent work. */
  static final String URGENT_PREFIX = "/pule252/";

  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger(12_000 + new Random().nextInt(18_000));

  final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4));
  final Store store = new Store(vertx);
  final List<Worker> workers = new ArrayList<>();
  final List<Instance> instances = new ArrayList<>();
  private final PrintWriter record;
  private final long began = System.nanoTime();
  private final Path folder;

  /** An answer; its status is 0 if the connection ended without one, -1 if none came in time. */
  record Answer(int status, String body, String head) {}

  /** One process of the system. */
  static final class Instance {
    final int index;
    int front;
    int ready;
    Path settings;
    Path output;
    Process process;
    int starts;

    Instance(int index) {
      this.index = index;
    }
  }

  Rig(Path recordFile) throws Exception {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    folder = Files.createTempDirectory("review-3-");
  }

  long millis() {
    return (System.nanoTime() - began) / 1_000_000;
  }

  synchronized void note(String format, Object... values) {
    String line =
        String.format(Locale.ROOT, "%8.3f  ", millis() / 1_000.0)
            + String.format(Locale.ROOT, format, values);
    record.println(line);
  }

  /**
   * Returns a port that is free, below those that the system gives to connections, so that none of
   * these takes it before the process listens.
   */
  static int freePort() throws IOException {
    for (int tries = 0; tries < 1_000; tries++) {
      int port = NEXT_PORT.getAndIncrement();
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress("127.0.0.1", port));
        return port;
      } catch (IOException error) {
        // Another process has it; the next one may be free.
      }
    }
    throw new IOException("no free port");
  }

  /** Writes the configuration as the operator does. */
  void configure(long version, JsonArray routes, JsonArray tenants) {
    store.put(
        "keyed.op",
        "config",
        new JsonObject()
            .put("Version", version)
            .put("Routes", routes)
            .put(
                "Services",
                new JsonArray()
                    .add(
                        new JsonObject()
                            .put("Name", SERVICE)
                            .put("HealthPath", "/health")
                            .put("MaxConns", 64)
                            .put("AdmissionControl", false)
                            .put("Spare", false)))
            .put(
                "Limits",
                new JsonObject().put("HeaderBytes", 16_384).put("BodyBytes", 262_144))
            .put("Tenants", tenants));
    note("operator: configuration %d", version);
  }

  static JsonObject route(String name, String prefix, int priority, int attempts) {
    return new JsonObject()
        .put("Name", name)
        .put("Host", HOST)
        .put("Prefix", prefix)
        .put("Kind", "unsafe")
        .put("TimeoutMs", 3_000)
        .put("SloMs", 3_000)
        .put("Priority", priority)
        .put("Service", SERVICE)
        .put("Attempts", attempts)
        .put("Stretch", 4.0)
        .put("Public", false);
  }

  static JsonObject tenant(String name, String key) {
    return new JsonObject()
        .put("Name", name)
        .put("ApiKeys", new JsonArray().add(key))
        .put("Weight", 27)
        .put("UpperLimit", new JsonObject().put("Cpu", 0).put("MemMb", 0).put("Gpu", 0));
  }

  /** Adds workers; the first one is of kind b, all others of kind a. */
  void addWorkers(int count, Worker.Workload workload, Worker.Listener listener) throws Exception {
    for (int index = 0; index < count; index++) {
      int next = workers.size();
      workers.add(
          new Worker(
              vertx,
              store,
              SERVICE,
              String.format(Locale.ROOT, "i-%08x", 0x7f3a0000 + next),
              next < 1 ? "b" : "a",
              "r1-" + next / 6,
              16_000,
              65_536,
              workload,
              listener));
    }
  }

  /** Starts instances with the command of the deploy file. */
  void startInstances(int count) throws Exception {
    for (int index = 0; index < count; index++) {
      Instance instance = new Instance(index);
      instance.front = freePort();
      instance.ready = freePort();
      JsonObject settings =
          new JsonObject()
              .put("name", "front-norte-a-" + (index + 1))
              .put("dataCentre", "norte-a")
              .put("address", "127.0.0.1")
              .put("peerPort", freePort())
              .put("metricsPort", 0)
              .put("front", "127.0.0.1:" + instance.front)
              .put("ready", "127.0.0.1:" + instance.ready)
              .put("store", "127.0.0.1:" + store.listen(index))
              .put("advisor", "")
              .put("processorShare", 0.75)
              .put("processorSpeed", 1)
              .put("linkMegabits", 1000.0)
              .put("longestLeaseMillis", 10_000)
              .put("gangMillis", 3_000)
              .put("revokeMillis", 5_000)
              .put("stopMillis", 900)
              .put("restoreMillis", 250)
              .put("saveSeconds", 0.5)
              .put("stateKeptSeconds", 120)
              .put("graceSeconds", 6)
              .put("leastGroupLifetimeMillis", 1_000)
              .put("workerHeartbeatMillis", 1_500);
      instance.settings = folder.resolve("settings-" + index + ".json");
      instance.output = folder.resolve("output-" + index + ".txt");
      Files.writeString(instance.settings, settings.encodePrettily());
      instances.add(instance);
    }
    for (Instance instance : instances) {
      start(instance);
    }
  }

  void start(Instance instance) throws Exception {
    String run =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
    run = run.replace("/etc/hickorypier/local.toml", instance.settings.toString());
    instance.process =
        new ProcessBuilder(Arrays.asList(run.split(" +")))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(instance.output.toFile()))
            .start();
    instance.starts++;
    note("instance %d started, process %d", instance.index, instance.process.pid());
  }

  /** Starts processes that have ended by themselves again, as the platform does. */
  int restartEnded() throws Exception {
    int restarted = 0;
    for (Instance instance : instances) {
      if (!instance.process.isAlive()) {
        note("instance %d ENDED by itself, code %d", instance.index, instance.process.exitValue());
        start(instance);
        restarted++;
      }
    }
    return restarted;
  }

  void signal(Instance instance, String name) throws Exception {
    note("instance %d gets SIG%s", instance.index, name);
    new ProcessBuilder("kill", "-" + name, Long.toString(instance.process.pid()))
        .start()
        .waitFor();
  }

  /** Waits until all instances say that they are ready. */
  boolean awaitReady(long millis) throws Exception {
    long until = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < until) {
      int ready = 0;
      for (Instance instance : instances) {
        Answer answer = call(instance.ready, "GET", "/hickorypier/ready", HOST, null, null, 500);
        ready += answer.status == 200 ? 1 : 0;
      }
      if (ready == instances.size()) {
        note("all instances are ready");
        return true;
      }
      Thread.sleep(100);
    }
    for (Instance instance : instances) {
      note("instance %d, alive: %s", instance.index, instance.process.isAlive());
      Files.readAllLines(instance.output).forEach(line -> note("  %s", line));
    }
    return false;
  }

  Answer call(Instance at, String method, String path, String key, JsonObject body, long millis) {
    return call(at.front, method, path, HOST, key, body, millis);
  }

  /** Sends one request over a connection of its own, which is closed after the time. */
  static Answer call(
      int port, String method, String path, String host, String key, JsonObject json, long millis) {
    return call(port, method, path, host, key, json, millis, millis);
  }

  /** Sends a request of a caller that names one time budget and leaves after another time. */
  static Answer call(
      int port,
      String method,
      String path,
      String host,
      String key,
      JsonObject json,
      long budgetMillis,
      long millis) {
    long until = System.nanoTime() + millis * 1_000_000;
    byte[] body = json == null ? new byte[0] : json.toBuffer().getBytes();
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n"
            + (key == null ? "" : "Authorization: Bearer " + key + "\r\n")
            + (json == null ? "" : "Content-Type: application/json\r\n")
            + "Hickorypier-Deadline-Ms: " + budgetMillis + "\r\n"
            + "Content-Length: " + body.length + "\r\n\r\n";
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), (int) millis);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(body);
      socket.getOutputStream().flush();
      InputStream in = socket.getInputStream();
      byte[] part = new byte[8_192];
      while (true) {
        long left = (until - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
          return new Answer(-1, "", "");
        }
        socket.setSoTimeout((int) left);
        int count = in.read(part);
        if (count < 0) {
          return new Answer(0, "", "");
        }
        read.write(part, 0, count);
        String text = read.toString(StandardCharsets.UTF_8);
        int end = text.indexOf("\r\n\r\n");
        if (end >= 0) {
          String heads = text.substring(0, end).toLowerCase(Locale.ROOT);
          int at = heads.indexOf("content-length:");
          int length =
              at < 0 ? 0 : Integer.parseInt(heads.substring(at + 15).split("\r\n")[0].trim());
          if (read.size() >= end + 4 + length) {
            return new Answer(
                Integer.parseInt(text.substring(9, 12)), text.substring(end + 4), heads);
          }
        }
      }
    } catch (SocketTimeoutException error) {
      return new Answer(-1, "", "");
    } catch (IOException error) {
      return new Answer(0, error.getMessage(), "");
    }
  }

  String tail(Instance instance, String pattern, int lines) throws IOException {
    List<String> found =
        Files.readAllLines(instance.output).stream().filter(l -> l.contains(pattern)).toList();
    return String.join("\n", found.subList(Math.max(0, found.size() - lines), found.size()));
  }

  @Override
  public void close() throws Exception {
    for (Instance instance : instances) {
      if (instance.process != null) {
        instance.process.destroyForcibly();
        instance.process.waitFor();
      }
    }
    record.close();
    if (System.getenv("KEEP") == null) {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    } else {
      System.err.println("outputs in " + folder);
    }
    vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
  }
}
