package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hickorypier.core.cell.EvacuationReading;
import org.hickorypier.core.cluster.ClusterConfiguration;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.store.StoreClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConfigurationWatcherTest {

  private static final Buffer EMPTY_PAGE = Buffer.buffer().appendLong(0).appendLong(0);

  private final Vertx vertx = Vertx.vertx();
  private final ManualTimerService timers = new ManualTimerService();

  /** The waits that the reads after the snapshot have asked for, in the order of the reads. */
  private final BlockingQueue<String> waits = new LinkedBlockingQueue<>();

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  /** A store without any record, which holds a read back for as long as it may wait. */
  private void answer(HttpServerRequest request) {
    if (request.path().endsWith("log-newest")) {
      request.response().end("{\"items\":[],\"HasMore\":false,\"End\":0}");
      return;
    }
    waits.add(request.getParam("WaitMs"));
    if (request.getParam("WaitMs").equals("0")) {
      request.response().end(EMPTY_PAGE);
    }
  }

  /**
   * Guards against an instance that reads the store some 500 times a second until the operator has
   * written the first configuration.
   */
  @Test
  void readBeforeTheFirstConfigurationWaitsAtTheStore() throws Exception {
    startWatcher(reading -> {});
    assertThat(waits.poll(20, TimeUnit.SECONDS)).isEqualTo("1000");
    assertThat(waits).isEmpty();
  }

  /** Guards against an instance that misses all later versions once it has failed to apply one. */
  @Test
  void readFollowsOneThatCannotBeApplied() throws Exception {
    startWatcher(
        reading -> {
          throw new IllegalStateException("the reading cannot be applied");
        });
    assertThat(waits.poll(20, TimeUnit.SECONDS)).isEqualTo("1000");
  }

  private void startWatcher(Consumer<EvacuationReading> readings) throws Exception {
    HttpServer server =
        await(vertx.createHttpServer().requestHandler(this::answer).listen(0, "127.0.0.1"));
    StoreClient store =
        new StoreClient(
            new PooledHttpClient(vertx, 2), new ServiceAddress("127.0.0.1", server.actualPort()));
    new ConfigurationWatcher(
            store,
            timers,
            new SuspensionDetector(timers::nowMillis, timers::nowMillis),
            (part, event, fields) -> {},
            5_000,
            new ReadingListener(readings))
        .start();
  }

  /** Passes the readings of evacuations on, and ignores configurations. */
  private record ReadingListener(Consumer<EvacuationReading> readings)
      implements ConfigurationWatcher.Listener {

    @Override
    public void configurationChanged(ClusterConfiguration configuration) {}

    @Override
    public void evacuationsRead(EvacuationReading reading) {
      readings.accept(reading);
    }
  }
}
