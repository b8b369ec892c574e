package org.hickorypier.daemon.node;

import io.vertx.core.Future;
import io.vertx.core.Handler;
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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.core.cell.CustomerLimits;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cluster.CustomerAccess;
import org.hickorypier.core.intake.IntakeLimits;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.daemon.link.Link;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.link.LinkRequestHandler;
import org.hickorypier.daemon.owner.ProcessorSpeedMonitor;
import org.hickorypier.daemon.owner.Strength;
import org.hickorypier.daemon.time.VertxTimerService;
import org.hickorypier.platform.http.HttpReply;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.http.TrafficCounter;
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

/**
 * Runs real instances in one process on loopback, over an in-memory store and in-memory workers.
 */
final class SmallCluster implements AutoCloseable {

  static final String HOST = "queue.example";
  static final String PREFIX = "/queue/";
  static final String KEY = "key-of-the-customer";
  private static final long TIMEOUT_SECONDS = 20;

  final Vertx vertx = Vertx.vertx();
  final InMemoryStore store = new InMemoryStore(4, SmallCluster::nowMillis);
  final StandInOperator operator =
      new StandInOperator(
          store, HOST, PREFIX, new QueueTerms("q", "service", 0, 3, 2, 1_000, Optional.empty()));
  final StoreServer storeServer = new StoreServer(vertx, store);
  final List<InMemoryExecutor> workers = new ArrayList<>();
  final List<ExecutorServer> workerServers = new ArrayList<>();
  private final List<HttpServer> workerListeners = new ArrayList<>();
  final List<Instance> instances = new ArrayList<>();
  final List<String> events = java.util.Collections.synchronizedList(new ArrayList<>());
  private final PooledHttpClient httpCalls = new PooledHttpClient(vertx, 20);
  private final ServiceAddress firstStoreAddress;
  private ServiceAddress storeAddress;
  EventLog log = (part, event, fields) -> {};
  Runnable onClose = () -> {};

  /** Bandwidth of the link of instances created from now on. */
  double linkMegabits = 1_000;

  /** Duration of the benchmark workload on instances created from now on. */
  long workNanos = 20_000;

  /**
   * Duration of the benchmark workload on the instance created last; may be changed while that
   * instance runs.
   */
  AtomicLong latestWorkNanos;

  /** One instance with its settings and the id of its deployment. */
  record Instance(NodeSettings settings, Node node, String deployment) {}

  SmallCluster(int workerCount, long workMillis) throws Exception {
    firstStoreAddress = address(await(storeServer.listen(0)));
    storeAddress = firstStoreAddress;
    for (int index = 0; index < workerCount; index++) {
      long started = nowMillis();
      InMemoryExecutor worker =
          new InMemoryExecutor(
              "w" + index,
              System.currentTimeMillis(),
              Workload.steady(workMillis),
              RunObserver.NONE,
              () -> nowMillis() - started,
              (millis, task) -> vertx.setTimer(Math.max(1, millis), id -> task.run()));
      ExecutorServer server = new ExecutorServer(vertx, worker);
      HttpServer listener = await(server.listen(0));
      workers.add(worker);
      workerServers.add(server);
      workerListeners.add(listener);
      putWorkerEntry(index, workerEntry(index));
    }
    configure(KEY);
  }

  /**
   * Lets instances created from now on reach the store through another server, which it returns.
   */
  StoreServer useOtherStoreServer() throws Exception {
    StoreServer other = new StoreServer(vertx, store);
    storeAddress = address(await(other.listen(0)));
    return other;
  }

  /** Lets instances created from now on reach the store through the first server again. */
  void useFirstStoreServer() {
    storeAddress = firstStoreAddress;
  }

  private JsonObject workerEntry(int worker) {
    return workers
        .get(worker)
        .entry("service", "" + address(workerListeners.get(worker)))
        .put("Zone", dataCentre(worker));
  }

  /** Returns the data centre of a worker; each worker stands in one of its own. */
  static String dataCentre(int worker) {
    return "data-centre-" + worker;
  }

  private void putWorkerEntry(int worker, JsonObject entry) {
    store.put("keyed.servers", workers.get(worker).id(), entry.toBuffer().getBytes());
  }

  /** Publishes an entry that no worker has written. */
  void putForeignEntry(String id, JsonObject entry) {
    store.put("keyed.servers", id, entry.toBuffer().getBytes());
  }

  /** Publishes that a worker is draining. */
  void drain(int worker, long remainingMillis) {
    putWorkerEntry(
        worker, workerEntry(worker).put("State", "draining").put("RemainingMs", remainingMillis));
  }

  /** Stops a worker permanently; its running tasks end. */
  void removeWorker(int worker) throws Exception {
    await(workerListeners.get(worker).close());
    workers.get(worker).crash();
  }

  /** Deletes a worker's entry from the list of workers. */
  void deleteWorkerEntry(int worker) {
    store.put("keyed.servers", workers.get(worker).id(), null);
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  private static ServiceAddress address(HttpServer server) {
    return new ServiceAddress(
        InetAddress.getLoopbackAddress().getHostAddress(), server.actualPort());
  }

  /** Replaces the keys of the customer. */
  void configure(String... keys) {
    CustomerLimits limits = new CustomerLimits("customer", 100, Resources.NONE);
    operator.configure(List.of(new CustomerAccess(limits, Set.of(keys))));
  }

  /** Limits the customer to one processor. */
  void limitToOneProcessor() {
    CustomerLimits limits = new CustomerLimits("customer", 100, new Resources(1_000, 0, 0));
    operator.configure(List.of(new CustomerAccess(limits, Set.of(KEY))));
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
        CellTimings.of(10_000, 3_000, 60_000).withEvacuationMillis(5_000),
        strength,
        5_000,
        1_000,
        3_000,
        1_500,
        linkMegabits,
        1,
        new IntakeLimits(1_000, 32 << 20));
  }

  /** Records an owner that accepts connections and answers nothing. */
  void installUnresponsiveOwner() throws Exception {
    installOwner(socket -> socket.handler(bytes -> {}));
  }

  /** Records an owner that does not own the cell yet, and counts the submissions that it gets. */
  AtomicInteger installDenyingOwner() throws Exception {
    AtomicInteger submissions = new AtomicInteger();
    LinkRequestHandler denial =
        request -> {
          if (request instanceof LinkRequest.Submit) {
            submissions.incrementAndGet();
          }
          return Future.succeededFuture(new LinkReply.NotOwner());
        };
    installOwner(
        socket ->
            new Link(
                socket,
                denial,
                new VertxTimerService(vertx, vertx.getOrCreateContext()),
                new TrafficCounter()));
    return submissions;
  }

  private void installOwner(Handler<NetSocket> connections) throws Exception {
    installOwner(1, connections);
  }

  /** Records an owner of some epoch, which handles its connections as given. */
  void installOwner(int epoch, Handler<NetSocket> connections) throws Exception {
    NetServer server =
        await(
            vertx
                .createNetServer()
                .connectHandler(connections)
                .listen(0, InetAddress.getLoopbackAddress().getHostAddress()));
    String address =
        new ServiceAddress(InetAddress.getLoopbackAddress().getHostAddress(), server.actualPort())
            .toString();
    byte[] owner = (epoch + " " + address).getBytes(StandardCharsets.UTF_8);
    write("keyed.hickorypier-journal", "owner", owner, epoch);
    write("keyed.hickorypier-directory", "cell-0", owner, epoch);
    // The group assigns its partitions to members in the order of their names.
    store.join("hickorypier", "a-member-standing-still", "keyed.hickorypier-journal", 60_000);
  }

  /** Claims the cell for an instance in the journal only, without that instance's knowledge. */
  void claimFor(Instance instance, int epoch) throws Exception {
    byte[] owner =
        (epoch + " " + instance.settings().advertisedPeer()).getBytes(StandardCharsets.UTF_8);
    write("keyed.hickorypier-journal", "owner", owner, epoch);
  }

  private void write(String topic, String key, byte[] value) throws Exception {
    write(topic, key, value, 1);
  }

  private void write(String topic, String key, byte[] value, int epoch) throws Exception {
    StoreClient client = new StoreClient(httpCalls, storeAddress);
    List<KeyedRecord> records = List.of(new KeyedRecord(key, value));
    await(client.append(new Append(topic, 0, records, OptionalLong.empty(), "owner", epoch, 1)));
  }

  Instance start() throws Exception {
    return start(Strength.UNKNOWN);
  }

  Instance start(Strength strength) throws Exception {
    Instance instance = startWithoutOwner(strength);
    // An instance without an owner stays ready for up to 3 s and may refuse requests meanwhile.
    waitUntil(() -> instances.stream().anyMatch(candidate -> hasLogged(candidate, "owner-gained")));
    return instance;
  }

  /** Starts an instance without waiting for an owner. */
  Instance startWithoutOwner(Strength strength) throws Exception {
    NodeSettings settings = settings(strength);
    Node node = newNode(settings);
    Instance instance = new Instance(settings, node, await(vertx.deployVerticle(node)));
    instances.add(instance);
    waitUntil(() -> ready(instance));
    return instance;
  }

  Node newNode() throws IOException {
    return newNode(settings(Strength.UNKNOWN));
  }

  /** Creates an instance without starting it. */
  Node newNode(NodeSettings settings) {
    AtomicLong currentWorkNanos = new AtomicLong(workNanos);
    latestWorkNanos = currentWorkNanos;
    return new Node(
        settings,
        (part, event, fields) -> {
          events.add(settings.name() + " " + part + " " + event + " " + List.of(fields));
          log.event(part, event, fields);
        },
        System::currentTimeMillis,
        new ProcessorSpeedMonitor(currentWorkNanos::get));
  }

  /** Tells whether an instance has logged an event. */
  boolean hasLogged(Instance instance, String event) {
    synchronized (events) {
      return events.stream()
          .anyMatch(line -> line.startsWith(instance.settings().name()) && line.contains(event));
    }
  }

  /**
   * Returns the remaining times, in milliseconds, that an instance has logged for steps that wait
   * for a worker.
   */
  List<Long> loggedWorkerWaitsMillis(Instance instance, String worker) {
    Pattern waitPattern = Pattern.compile(" step-waits .* " + worker + " for (\\d+) ms");
    synchronized (events) {
      return events.stream()
          .filter(line -> line.startsWith(instance.settings().name()))
          .map(waitPattern::matcher)
          .filter(Matcher::find)
          .map(match -> Long.valueOf(match.group(1)))
          .toList();
    }
  }

  /** Starts an instance's graceful shutdown, as on SIGTERM. */
  Future<Void> leave(Instance instance, long graceMillis) {
    long processEndsAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(graceMillis);
    return instance.node().leave(instance.node().controlContext(), processEndsAtNanos);
  }

  /** Returns the logged lines from the first one that starts with the given text. */
  List<String> eventsSince(String text) {
    synchronized (events) {
      return events.stream().dropWhile(line -> !line.startsWith(text)).toList();
    }
  }

  /** Simulates a crash of an instance: its sockets close and nothing is handed over. */
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
    return submitBody(
        instance,
        id,
        new JsonObject().put("Spec", "text").put("Phases", new JsonArray().add(step)));
  }

  /** Submits without waiting for the answer. */
  Future<HttpReply> submitAsync(Instance instance, String id, int tasks) {
    JsonObject body =
        new JsonObject().put("Spec", "text").put("Phases", new JsonArray().add(step(tasks)));
    return callAsync(instance.settings().front(), HttpMethod.POST, PREFIX + id, body.toBuffer());
  }

  HttpReply cancel(Instance instance, String id) {
    return call(instance.settings().front(), HttpMethod.DELETE, PREFIX + id, null);
  }

  /** Returns what an instance tells the operator about a submission. */
  String explain(Instance instance, String id) {
    try {
      return await(instance.node().explain(id));
    } catch (InterruptedException | ExecutionException | TimeoutException error) {
      throw new IllegalStateException(error);
    }
  }

  private HttpReply submitBody(Instance instance, String id, JsonObject body) {
    return call(instance.settings().front(), HttpMethod.POST, PREFIX + id, body.toBuffer());
  }

  /** Submits a number of steps of one task that declares nothing. */
  HttpReply submitSteps(Instance instance, String id, int steps) {
    JsonArray phases = new JsonArray();
    for (int index = 0; index < steps; index++) {
      phases.add(new JsonObject());
    }
    return submitBody(instance, id, new JsonObject().put("Spec", "text").put("Phases", phases));
  }

  /** Submits one task with a label that is null, and a text of some length. */
  HttpReply submitNullLabel(Instance instance, String id, int textLength) {
    JsonArray phases = new JsonArray().add(step(1).putNull("Affinity"));
    JsonObject body = new JsonObject().put("Spec", "x".repeat(textLength)).put("Phases", phases);
    return submitBody(instance, id, body);
  }

  /** Submits one task with one occurrence, which is due after a delay. */
  HttpReply submitScheduled(Instance instance, String id, long delayMillis) {
    return submitBody(
        instance,
        id,
        new JsonObject()
            .put("Spec", "text")
            .put("Phases", new JsonArray().add(step(1)))
            .put("Times", 1)
            .put("StartAtMs", System.currentTimeMillis() + delayMillis)
            .put("IntervalMs", 1_000));
  }

  /** Submits one persistent task. */
  HttpReply submitPersistent(Instance instance, String id) {
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
    try {
      return await(callAsync(address, method, path, body));
    } catch (InterruptedException | ExecutionException | TimeoutException error) {
      throw new IllegalStateException(error);
    }
  }

  private Future<HttpReply> callAsync(
      ServiceAddress address, HttpMethod method, String path, Buffer body) {
    Map<String, String> headers = Map.of("Host", HOST, "Authorization", "Bearer " + KEY);
    return httpCalls
        .call(address, method, path, headers, body, 5_000)
        .otherwise(new HttpReply(0, Buffer.buffer()));
  }

  /** Opens a connection without sending anything. */
  NetSocket connect(ServiceAddress address) throws Exception {
    return await(vertx.createNetClient().connect(address.port(), address.host()));
  }

  List<String> starts() {
    List<String> starts = new ArrayList<>();
    workers.forEach(worker -> starts.addAll(worker.history()));
    return starts;
  }

  /** Waits for a condition; the test fails if it is not met within the timeout. */
  void waitUntil(BooleanSupplier condition) throws InterruptedException {
    waitUntil(TIMEOUT_SECONDS, condition);
  }

  /** Waits for a condition; the test fails if it is not met within some seconds. */
  void waitUntil(long seconds, BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("the condition was not met in time; events: " + events);
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  static <T> T await(Future<T> future)
      throws InterruptedException, ExecutionException, TimeoutException {
    return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Override
  public void close() throws ExecutionException, TimeoutException {
    onClose.run();
    try {
      // Instances stop first: they still call the stand-ins, whose shutdown waits for such calls.
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
