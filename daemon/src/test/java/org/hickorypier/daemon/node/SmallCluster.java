package org.hickorypier.daemon.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hickorypier.core.cell.CellTerms;
import org.hickorypier.core.cell.CustomerTerms;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cluster.CustomerAccess;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.daemon.owner.ProcessorSpeedMonitor;
import org.hickorypier.daemon.owner.Strength;
import org.hickorypier.platform.http.HttpReply;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.store.Append;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.standins.executor.InMemoryExecutor;
import org.hickorypier.standins.executor.RunObserver;
import org.hickorypier.standins.executor.Workload;
import org.hickorypier.standins.http.ExecutorServer;
import org.hickorypier.standins.http.LoopbackPort;
import org.hickorypier.standins.http.StoreServer;
import org.hickorypier.standins.operator.StandInOperator;
import org.hickorypier.standins.store.InMemoryStore;

/** Real instances in one process, over a store and workers in memory, all on loopback. */
final class SmallCluster implements AutoCloseable {

  static final String HOST = "queue.example";
  static final String PREFIX = "/queue/";
  static final String KEY = "key-of-the-customer";
  private static final long MOST_SECONDS = 20;

  final Vertx vertx = Vertx.vertx();
  final InMemoryStore store = new InMemoryStore(4, SmallCluster::now);
  private final StandInOperator operator =
      new StandInOperator(
          store, HOST, PREFIX, new QueueTerms("q", "service", 0, 3, 2, 1_000, Optional.empty()));
  final StoreServer storeServer = new StoreServer(vertx, store);
  final List<InMemoryExecutor> workers = new ArrayList<>();
  final List<ExecutorServer> workerServers = new ArrayList<>();
  private final List<HttpServer> workerListeners = new ArrayList<>();
  final List<Instance> instances = new ArrayList<>();
  final List<String> events = java.util.Collections.synchronizedList(new ArrayList<>());
  private final PooledHttpClient calls = new PooledHttpClient(vertx, 20);
  private final ServiceAddress storeAddress;
  EventLog log = (part, event, fields) -> {};
  Runnable onClose = () -> {};

  /** How long the fixed piece of work takes the instances that are started from now on. */
  long workNanos = 20_000;

  /** The same of the instance that was made last; it may be changed while that runs. */
  AtomicLong latestWorkNanos;

  /** One instance with the name of its deployment. */
  record Instance(NodeSettings settings, Node node, String deployment) {}

  SmallCluster(int workerCount, long workMillis) throws Exception {
    storeAddress = address(await(storeServer.listen(0)));
    for (int index = 0; index < workerCount; index++) {
      long started = now();
      InMemoryExecutor worker =
          new InMemoryExecutor(
              "w" + index,
              System.currentTimeMillis(),
              Workload.steady(workMillis),
              RunObserver.NONE,
              () -> now() - started,
              (millis, task) -> vertx.setTimer(Math.max(1, millis), id -> task.run()));
      ExecutorServer server = new ExecutorServer(vertx, worker);
      HttpServer listener = await(server.listen(0));
      workers.add(worker);
      workerServers.add(server);
      workerListeners.add(listener);
      list(index, entry(index));
    }
    configure(KEY);
  }

  private JsonObject entry(int worker) {
    return workers.get(worker).entry("service", "" + address(workerListeners.get(worker)));
  }

  private void list(int worker, JsonObject entry) {
    store.put("keyed.servers", workers.get(worker).id(), entry.toBuffer().getBytes());
  }

  /** Lets a worker say that it drains. */
  void drain(int worker, long remainingMillis) {
    list(worker, entry(worker).put("State", "draining").put("RemainingMs", remainingMillis));
  }

  /** Takes a worker away for good: what runs there ends. */
  void depart(int worker) throws Exception {
    await(workerListeners.get(worker).close());
    workers.get(worker).crash();
  }

  /** Removes a worker's entry. */
  void unlist(int worker) {
    store.put("keyed.servers", workers.get(worker).id(), null);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private static ServiceAddress address(HttpServer server) {
    return new ServiceAddress(
        InetAddress.getLoopbackAddress().getHostAddress(), server.actualPort());
  }

  /** Gives the customer these keys and no others. */
  void configure(String... keys) {
    CustomerTerms terms = new CustomerTerms("customer", 100, Resources.NONE);
    operator.configure(List.of(new CustomerAccess(terms, Set.of(keys))));
  }

  /** Gives the customer a limit of one processor. */
  void limitToOneProcessor() {
    CustomerTerms terms = new CustomerTerms("customer", 100, new Resources(1_000, 0, 0));
    operator.configure(List.of(new CustomerAccess(terms, Set.of(KEY))));
  }

  /** Hides the configuration from instances that start from now on. */
  void hideConfiguration() {
    store.put("keyed.op", "config", null);
  }

  NodeSettings settings(Strength strength) throws IOException {
    String host = InetAddress.getLoopbackAddress().getHostAddress();
    int peerPort = LoopbackPort.free();
    return new NodeSettings(
        "instance-" + instances.size(),
        host,
        peerPort,
        new ServiceAddress(host, peerPort),
        0,
        new ServiceAddress(host, LoopbackPort.free()),
        new ServiceAddress(host, LoopbackPort.free()),
        storeAddress,
        null,
        CellTerms.of(10_000, 3_000, 60_000),
        strength,
        5_000,
        1_000,
        3_000,
        1_500);
  }

  /** Puts an owner in place that takes connections and answers nothing. */
  void standStillOwner() throws Exception {
    NetServer silent =
        await(
            vertx
                .createNetServer()
                .connectHandler(socket -> socket.handler(bytes -> {}))
                .listen(0, InetAddress.getLoopbackAddress().getHostAddress()));
    String address =
        new ServiceAddress(InetAddress.getLoopbackAddress().getHostAddress(), silent.actualPort())
            .toString();
    byte[] owner = ("1 " + address).getBytes(StandardCharsets.UTF_8);
    write("keyed.hickorypier-journal", "owner", owner);
    write("keyed.hickorypier-directory", "cell-0", owner);
    // The group deals its partitions by the order of names.
    store.join("hickorypier", "a-member-standing-still", "keyed.hickorypier-journal", 60_000);
  }

  /** Claims the cell in an instance's name, in the journal alone and without its knowledge. */
  void claimFor(Instance instance, int epoch) throws Exception {
    byte[] owner =
        (epoch + " " + instance.settings().advertisedPeer()).getBytes(StandardCharsets.UTF_8);
    write("keyed.hickorypier-journal", "owner", owner, epoch);
  }

  private void write(String topic, String key, byte[] value) throws Exception {
    write(topic, key, value, 1);
  }

  private void write(String topic, String key, byte[] value, int epoch) throws Exception {
    StoreClient client = new StoreClient(calls, storeAddress);
    List<KeyedRecord> records = List.of(new KeyedRecord(key, value));
    await(client.append(new Append(topic, 0, records, OptionalLong.empty(), "owner", epoch, 1)));
  }

  Instance start() throws Exception {
    return start(Strength.UNKNOWN);
  }

  Instance start(Strength strength) throws Exception {
    Instance instance = startUnowned(strength);
    // An instance is ready for up to 3 s without an owner, and may refuse meanwhile.
    until(() -> instances.stream().anyMatch(each -> told(each, "owner-gained")));
    return instance;
  }

  /** Starts an instance without waiting for an owner. */
  Instance startUnowned(Strength strength) throws Exception {
    NodeSettings settings = settings(strength);
    Node node = newNode(settings);
    Instance instance = new Instance(settings, node, await(vertx.deployVerticle(node)));
    instances.add(instance);
    until(() -> ready(instance));
    return instance;
  }

  Node newNode() throws IOException {
    return newNode(settings(Strength.UNKNOWN));
  }

  /** Makes an instance that is not started. */
  Node newNode(NodeSettings settings) {
    AtomicLong work = new AtomicLong(workNanos);
    latestWorkNanos = work;
    return new Node(
        settings,
        (part, event, fields) -> {
          events.add(settings.name() + " " + part + " " + event + " " + List.of(fields));
          log.event(part, event, fields);
        },
        System::currentTimeMillis,
        new ProcessorSpeedMonitor(work::get));
  }

  /** Tells whether an instance has logged an event. */
  boolean told(Instance instance, String event) {
    synchronized (events) {
      return events.stream()
          .anyMatch(line -> line.startsWith(instance.settings().name()) && line.contains(event));
    }
  }

  /** Returns for how long an instance has said that long waiting steps wait for a worker yet. */
  List<Long> waitsForWorker(Instance instance, String worker) {
    Pattern figure = Pattern.compile(" step-waits .* " + worker + " for (\\d+) ms");
    synchronized (events) {
      return events.stream()
          .filter(line -> line.startsWith(instance.settings().name()))
          .map(figure::matcher)
          .filter(Matcher::find)
          .map(found -> Long.valueOf(found.group(1)))
          .toList();
    }
  }

  /** Begins an instance's graceful end, as at SIGTERM. */
  Future<Void> leave(Instance instance, long graceMillis) {
    long endsAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(graceMillis);
    return instance.node().leave(instance.node().controlContext(), endsAt);
  }

  /** Returns what was logged after the first line that begins with a text. */
  List<String> eventsSince(String text) {
    synchronized (events) {
      return events.stream().dropWhile(line -> !line.startsWith(text)).toList();
    }
  }

  /** Takes an instance's process away: its sockets close, nothing is handed over. */
  void kill(Instance instance) throws Exception {
    await(vertx.undeploy(instance.deployment()));
  }

  boolean ready(Instance instance) {
    return call(instance.settings().ready(), HttpMethod.GET, "/hickorypier/ready", null).status()
        == 200;
  }

  HttpReply submit(Instance instance, String id, int tasks) {
    return submit(instance, id, step(tasks));
  }

  private HttpReply submit(Instance instance, String id, JsonObject step) {
    JsonObject body = new JsonObject().put("Spec", "text").put("Phases", new JsonArray().add(step));
    return call(instance.settings().front(), HttpMethod.POST, PREFIX + id, body.toBuffer());
  }

  /** Hands in one task that lasts. */
  HttpReply submitLasting(Instance instance, String id) {
    return submit(instance, id, step(1).put("Persistent", true));
  }

  private static JsonObject step(int tasks) {
    return new JsonObject()
        .put("Count", tasks)
        .put("Cpu", 1_000)
        .put("MemMb", 100)
        .put("EstimateMs", 100);
  }

  String state(Instance instance, String id) {
    HttpReply reply = call(instance.settings().front(), HttpMethod.GET, PREFIX + id, null);
    return reply.status() == 200
        ? new JsonObject(reply.body()).getString("State")
        : String.valueOf(reply.status());
  }

  HttpReply call(ServiceAddress address, HttpMethod method, String path, Buffer body) {
    Map<String, String> headers = Map.of("Host", HOST, "Authorization", "Bearer " + KEY);
    try {
      return await(
          calls
              .call(address, method, path, headers, body, 5_000)
              .otherwise(new HttpReply(0, Buffer.buffer())));
    } catch (InterruptedException | ExecutionException | TimeoutException error) {
      throw new IllegalStateException(error);
    }
  }

  /** Opens a connection that sends nothing yet. */
  NetSocket connect(ServiceAddress address) throws Exception {
    return await(vertx.createNetClient().connect(address.port(), address.host()));
  }

  List<String> starts() {
    List<String> starts = new ArrayList<>();
    workers.forEach(worker -> starts.addAll(worker.history()));
    return starts;
  }

  /** Waits for a condition; the test fails if it does not come about. */
  void until(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("the condition did not come about; events: " + events);
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  static <T> T await(Future<T> future)
      throws InterruptedException, ExecutionException, TimeoutException {
    return future.toCompletionStage().toCompletableFuture().get(MOST_SECONDS, TimeUnit.SECONDS);
  }

  @Override
  public void close() throws ExecutionException, TimeoutException {
    onClose.run();
    try {
      // Instances first: they still call the stand-ins, whose end would wait for those calls.
      for (Instance instance : instances) {
        if (vertx.deploymentIDs().contains(instance.deployment())) {
          await(vertx.undeploy(instance.deployment()));
        }
      }
      await(vertx.close());
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
    }
  }
}
