package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.nio.charset.StandardCharsets;
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

/** Tests that a read of the store follows one whose result could not be applied. */
class ReadsGoOnTest {

  private static final long TEST_TIMEOUT_SECONDS = 20;

  private final Vertx vertx = Vertx.vertx();
  private final Context control = vertx.getOrCreateContext();
  private final TimerService timers = new VertxTimerService(vertx, control);
  private final InMemoryStore store = new InMemoryStore(1, timers::nowMillis);
  private final BlockingQueue<Integer> applied = new LinkedBlockingQueue<>();
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

  private Integer nextApplied() throws InterruptedException {
    return applied.poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Guards against a worker list that stays as it is since one state could not be applied. */
  @Test
  void workerListIsReadAgain() throws Exception {
    OwnerDependencies dependencies =
        new OwnerDependencies(
            client,
            null,
            timers,
            System::currentTimeMillis,
            new SuspensionDetector(timers::nowMillis, timers::nowMillis),
            new DelayMonitor(timers),
            (part, event, fields) -> {},
            CellTimings.of(10_000, 3_000, 60_000),
            1_500,
            250_000,
            1);
    WorkerListReader reader =
        new WorkerListReader(
            dependencies,
            (entries, departed) -> {
              applied.add(entries.size());
              throw new IllegalStateException("the list cannot be applied");
            });
    control.runOnContext(none -> reader.start());
    assertThat(nextApplied()).isZero();
    assertThat(nextApplied()).isZero();
  }

  /** Guards against an instance that knows no later owner since it could not apply one. */
  @Test
  void laterOwnerIsReadAfterOneThatCannotBeApplied() throws Exception {
    OwnerDirectory directory =
        new OwnerDirectory(
            client,
            timers,
            (part, event, fields) -> {},
            owner -> {
              applied.add(owner.epoch());
              throw new IllegalStateException("the owner cannot be applied");
            });
    putOwner(1);
    control.runOnContext(none -> directory.start());
    assertThat(nextApplied()).isEqualTo(1);
    putOwner(2);
    assertThat(nextApplied()).isEqualTo(2);
  }

  private void putOwner(int epoch) {
    store.put(
        JournalKeys.DIRECTORY_TOPIC,
        JournalKeys.DIRECTORY_KEY,
        (epoch + " 10.0.0.1:1").getBytes(StandardCharsets.UTF_8));
  }
}
