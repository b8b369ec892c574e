package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.store.Append;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.Snapshot;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.http.StoreServer;
import org.hickorypier.standins.store.InMemoryStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JournalFollowerTest {

  private final Vertx vertx = Vertx.vertx();
  private final Context control = vertx.getOrCreateContext();
  private final InMemoryStore memory = new InMemoryStore(1, () -> 0);
  private final ManualTimerService timers = new ManualTimerService();
  private StoreServer storeServer;
  private StoreClient store;
  private JournalFollower follower;

  @BeforeEach
  void listen() throws Exception {
    storeServer = new StoreServer(vertx, memory);
    HttpServer server = await(storeServer.listen(0));
    store =
        new StoreClient(
            new PooledHttpClient(vertx, 8), new ServiceAddress("127.0.0.1", server.actualPort()));
    follower = new JournalFollower(store, timers, (part, event, fields) -> {});
  }

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  private void write(int sequence, String key, String value) throws Exception {
    byte[] bytes = value == null ? null : value.getBytes(StandardCharsets.UTF_8);
    await(
        store.append(
            new Append(
                JournalKeys.TOPIC,
                JournalKeys.PARTITION,
                List.of(new KeyedRecord(key, bytes)),
                OptionalLong.empty(),
                JournalKeys.PRODUCER,
                1,
                sequence)));
  }

  /** Runs an action on the follower's thread, on which the answers of the store arrive too. */
  private <T> T onControlThread(Supplier<T> action) throws Exception {
    Promise<T> done = Promise.promise();
    control.runOnContext(none -> done.complete(action.get()));
    return await(done.future());
  }

  private Optional<Snapshot> advance(Duration by, boolean requested) throws Exception {
    return onControlThread(
        () -> {
          if (requested) {
            follower.follow();
          }
          timers.advance(by);
          return follower.snapshot();
        });
  }

  /** Advances the clock until the follower has read up to an offset. */
  private Snapshot readUpTo(long offset) throws Exception {
    for (int round = 0; round < 1_000; round++) {
      Optional<Snapshot> snapshot = advance(Duration.ofMillis(250), true);
      if (snapshot.isPresent() && snapshot.get().from() == offset) {
        return snapshot.get();
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    throw new AssertionError("the journal was not read up to " + offset);
  }

  private Takeover takeover() throws Exception {
    Optional<Snapshot> known = onControlThread(follower::snapshot);
    return new Takeover(
        store,
        (part, event, fields) -> {},
        new Candidate("10.0.0.2:1", Strength.UNKNOWN),
        4,
        0,
        () -> true,
        null,
        known);
  }

  /**
   * Guards against takeovers that take seconds on a slow link: a standby claims the cell without
   * reading the whole journal, and knows also what was written after its last read.
   */
  @Test
  void standbyTakesOverWithoutReadingTheWholeJournal() throws Exception {
    write(1, "s.1", "first");
    write(2, "s.2", "second");
    readUpTo(2);
    write(3, "s.1", null);
    write(4, "s.3", "third");
    storeServer.gate().plan(FaultPlan.always("newest", Fault.UNAVAILABLE));
    Takeover.Result taken = await(takeover().run());
    assertThat(taken.epoch()).isEqualTo(1);
    assertThat(taken.values().get("s.1")).isNull();
    assertThat(taken.values()).containsKeys("s.2", "s.3");
  }

  @Test
  void deletedKeysAreDropped() throws Exception {
    write(1, "s.1", "first");
    readUpTo(1);
    write(2, "s.1", null);
    assertThat(readUpTo(2).values()).isEmpty();
  }

  @Test
  void followerStopsWithoutFurtherRequests() throws Exception {
    write(1, "s.1", "first");
    readUpTo(1);
    for (int round = 0; round < 1_000; round++) {
      if (advance(Duration.ofMillis(250), false).isEmpty()) {
        assertThat(onControlThread(follower::isReady)).isFalse();
        return;
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    throw new AssertionError("the follower goes on without requests");
  }
}
