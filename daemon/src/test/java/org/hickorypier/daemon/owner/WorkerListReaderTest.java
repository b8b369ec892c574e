package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.daemon.time.DelayMonitor;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.VertxTimerService;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.standins.http.StoreServer;
import org.hickorypier.standins.store.InMemoryStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WorkerListReaderTest {

  private static final long TEST_TIMEOUT_SECONDS = 20;

  private final Vertx vertx = Vertx.vertx();
  private final Context control = vertx.getOrCreateContext();
  private final TimerService timers = new VertxTimerService(vertx, control);
  private final InMemoryStore store = new InMemoryStore(1, timers::nowMillis);
  private final BlockingQueue<Integer> listed = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> errors = new LinkedBlockingQueue<>();
  private StoreClient client;

  @BeforeEach
  void listen() throws Exception {
    HttpServer server = await(new StoreServer(vertx, store).listen(0));
    client =
        new StoreClient(
            new PooledHttpClient(vertx, 2), new ServiceAddress("127.0.0.1", server.actualPort()));
  }

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future
        .toCompletionStage()
        .toCompletableFuture()
        .get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private Integer nextListed() throws InterruptedException {
    return listed.poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private WorkerListReader reader(WorkerListReader.Listener listener) {
    OwnerDependencies dependencies =
        new OwnerDependencies(
            client,
            null,
            timers,
            System::currentTimeMillis,
            new SuspensionDetector(timers::nowMillis, timers::nowMillis),
            new DelayMonitor(timers),
            (part, event, fields) -> errors.add(event + " " + fields[1]),
            CellTimings.of(10_000, 3_000, 60_000),
            1_500,
            250_000,
            1,
            1 << 20,
            1 << 20);
    return new WorkerListReader(dependencies, listener);
  }

  /** Guards against a list that counts as read although a worker began to drain on a later page. */
  @Test
  void listIsCompleteOnceTheLastPageIsRead() throws Exception {
    HttpServer server =
        await(
            vertx
                .createHttpServer()
                .requestHandler(
                    request -> {
                      if (request.path().endsWith("/log-newest")) {
                        request.response().end("{\"items\":[],\"HasMore\":false,\"End\":0}");
                      } else {
                        request.response().end(page(Integer.parseInt(request.getParam("From"))));
                      }
                    })
                .listen(0, "127.0.0.1"));
    client =
        new StoreClient(
            new PooledHttpClient(vertx, 2), new ServiceAddress("127.0.0.1", server.actualPort()));
    BlockingQueue<Boolean> draining = new LinkedBlockingQueue<>();
    WorkerListReader reader =
        reader(
            (entries, departed) ->
                entries.values().forEach(entry -> draining.add(entry.draining())));
    control.runOnContext(none -> reader.start());
    assertThat(draining.poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
  }

  /** Returns a page of one record, of a topic that has two. */
  private static Buffer page(int from) {
    Buffer page = Buffer.buffer().appendLong(2).appendLong(0);
    if (from < 2) {
      String entry = entry("[]").replace("ready", from == 0 ? "ready" : "draining");
      byte[] value = entry.getBytes(StandardCharsets.UTF_8);
      page.appendInt(3 + value.length).appendByte((byte) 2).appendString("w1").appendBytes(value);
    }
    return page;
  }

  private void put(String id, String entry) {
    byte[] value = entry == null ? null : entry.getBytes(StandardCharsets.UTF_8);
    store.put(StoreClient.WORKERS_TOPIC, id, value);
  }

  /** Guards against a worker list that stays as it is since one state could not be applied. */
  @Test
  void listIsReadAgainAfterOneThatCannotBeApplied() throws Exception {
    WorkerListReader reader =
        reader(
            (entries, departed) -> {
              listed.add(entries.size());
              throw new IllegalStateException("the list cannot be applied");
            });
    control.runOnContext(none -> reader.start());
    assertThat(nextListed()).isZero();
    assertThat(nextListed()).isZero();
  }

  /** Guards against an invalid entry that is not reported when another writer brings it back. */
  @Test
  void invalidEntryIsReportedOnceForEachTimeItAppears() throws Exception {
    WorkerListReader reader = reader((entries, departed) -> listed.add(entries.size()));
    put("invalid", "{}");
    control.runOnContext(none -> reader.start());
    assertThat(nextError()).isEqualTo("unreadable-entry invalid");
    put("invalid", "{}");
    put("invalid", null);
    put("invalid", "{}");
    assertThat(nextError()).isEqualTo("unreadable-entry invalid");
    listed.clear();
    assertThat(nextListed()).isZero();
    assertThat(errors).isEmpty();
  }

  /** Guards against a worker that stays listed since the record before its removal is odd. */
  @Test
  void recordsBesideAnOddEntryAreApplied() throws Exception {
    BlockingQueue<Set<String>> ids = new LinkedBlockingQueue<>();
    WorkerListReader reader = reader((entries, departed) -> ids.add(Set.copyOf(entries.keySet())));
    put("w1", entry("[]"));
    control.runOnContext(none -> reader.start());
    awaitListed(ids, Set.of("w1"));
    put("odd", entry("{\"a\":".repeat(990) + "1" + "}".repeat(990)));
    put("w1", null);
    put("w2", entry("[]"));
    assertThat(nextError()).isEqualTo("unreadable-entry odd");
    awaitListed(ids, Set.of("w2"));
  }

  /** Guards against a worker that is used, or gone for good, since another writer set its entry. */
  @Test
  void knownWorkerIsNotListedWhileItsEntryIsOdd() throws Exception {
    BlockingQueue<Set<String>> ids = new LinkedBlockingQueue<>();
    WorkerListReader reader = reader((entries, departed) -> ids.add(Set.copyOf(entries.keySet())));
    put("w1", entry("[]"));
    control.runOnContext(none -> reader.start());
    awaitListed(ids, Set.of("w1"));
    put("w1", entry("9".repeat(200_000)));
    awaitListed(ids, Set.of());
    put("w1", entry("[]"));
    awaitListed(ids, Set.of("w1"));
  }

  private static String entry(String labels) {
    return "{\"Service\":\"s\",\"Address\":\"127.0.0.1:9\",\"State\":\"ready\",\"Capacity\":{},"
        + "\"Labels\":"
        + labels
        + "}";
  }

  private static void awaitListed(BlockingQueue<Set<String>> listed, Set<String> expected)
      throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TEST_TIMEOUT_SECONDS);
    Set<String> ids = null;
    while (!expected.equals(ids)) {
      assertThat(System.nanoTime()).as("last listed: %s", ids).isLessThan(deadline);
      ids = listed.poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  private String nextError() throws InterruptedException {
    return errors.poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
