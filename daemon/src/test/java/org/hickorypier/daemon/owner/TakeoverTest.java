package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.store.Append;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.platform.store.StoreException;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.http.StoreServer;
import org.hickorypier.standins.store.InMemoryStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TakeoverTest {

  private static final long FIRST_APPEND_DELAY_MILLIS = 1_500;

  private final Vertx vertx = Vertx.vertx();
  private final InMemoryStore memory = new InMemoryStore(1, () -> 0);
  private StoreServer storeServer;
  private StoreClient store;

  @BeforeEach
  void listen() throws Exception {
    storeServer = new StoreServer(vertx, memory);
    HttpServer server = await(storeServer.listen(0));
    store =
        new StoreClient(
            new PooledHttpClient(vertx, 8), new ServiceAddress("127.0.0.1", server.actualPort()));
  }

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private Takeover candidate(String address, long sequence) {
    return candidate(address, sequence, 0, true);
  }

  private Takeover candidate(String address, long sequence, int replacedEpoch, boolean wanted) {
    return candidate(address, sequence, replacedEpoch, wanted, null);
  }

  private Takeover candidate(
      String address,
      long sequence,
      int replacedEpoch,
      boolean wanted,
      Takeover.Delay livenessDelay) {
    return new Takeover(
        store,
        (part, event, fields) -> {},
        new Candidate(address, Strength.UNKNOWN),
        sequence,
        replacedEpoch,
        () -> wanted,
        livenessDelay,
        Optional.empty());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  /**
   * Guards against two owners at once, under which callers' tasks ran twice and accepted
   * submissions were unknown. After the owner is killed, two instances take over at the same time.
   * If both write the owner record with one epoch and one sequence number, the store takes the
   * second for a repetition of the first and reports success to both.
   */
  @Test
  void exactlyOneOfTwoConcurrentCandidatesSucceeds() throws Exception {
    // The first append is delayed, so that both candidates have read the journal before either
    // writes.
    storeServer.gate().plan(new FaultPlan("append", Fault.NONE, 1, FIRST_APPEND_DELAY_MILLIS));
    Future<Takeover.Result> one = candidate("10.0.0.1:1", 17).run();
    Future<Takeover.Result> other = candidate("10.0.0.2:1", 4_711).run();
    await(Future.join(one, other).otherwiseEmpty());
    assertThat(one.succeeded() ^ other.succeeded()).isTrue();
  }

  @Test
  void successorReadsTheJournalAndFencesItsPredecessor() throws Exception {
    Takeover.Result first = await(candidate("10.0.0.1:1", 17).run());
    await(store.append(write(first, 1, "s.1")));
    Takeover.Result second = await(candidate("10.0.0.2:1", 4).run());

    assertThat(second.epoch()).isEqualTo(first.epoch() + 1);
    assertThat(second.values()).containsKey("s.1");
    Future<Long> late = store.append(write(first, 2, "s.2"));
    await(late.otherwiseEmpty());
    assertThat(late.cause()).isInstanceOf(StoreException.class).hasMessageContaining("fenced");
    await(store.append(write(second, 1, "s.3")));
  }

  /**
   * Guards against a series of takeovers after one loss, with thirteen owners in a row while
   * callers waited for seconds. Several instances find the same owner lost, and each reads the
   * journal after another has taken over. A candidate must replace only the owner that it found
   * lost, not its successor.
   */
  @Test
  void laterCandidateDoesNotReplaceTheSuccessorOfTheLostOwner() throws Exception {
    Takeover.Result lost = await(candidate("10.0.0.1:1", 17).run());
    Takeover.Result successor = await(candidate("10.0.0.2:1", 4, lost.epoch(), true).run());
    Future<Takeover.Result> later = candidate("10.0.0.3:1", 90, lost.epoch(), true).run();
    await(later.otherwiseEmpty());

    assertThat(later.cause()).isInstanceOf(SupersededException.class);
    assertThat(((SupersededException) later.cause()).owner())
        .isEqualTo(new OwnerRecord(successor.epoch(), "10.0.0.2:1", Strength.UNKNOWN));
    await(store.append(write(successor, 1, "s.1")));
  }

  /**
   * Guards against the replacement of an owner that works again. The store refuses the owner for a
   * moment, and the owner asks another instance to take over. That instance reads the journal for
   * seconds over a narrow link, and meanwhile the store serves the owner again.
   */
  @Test
  void takeoverThatIsNoLongerWantedClaimsNothing() throws Exception {
    Takeover.Result owner = await(candidate("10.0.0.1:1", 17).run());
    Future<Takeover.Result> late = candidate("10.0.0.2:1", 4, owner.epoch(), false).run();
    await(late.otherwiseEmpty());
    assertThat(late.cause()).hasMessageContaining("took too long");
    await(store.append(write(owner, 1, "s.1")));
  }

  /**
   * Guards against takeovers back and forth between the two sides of a network partition, during
   * which callers wait for each new owner. An instance that is cut off from the owner takes it for
   * lost, while the owner still writes its journal.
   */
  @Test
  void ownerThatStillWritesIsNotReplacedOnSuspicion() throws Exception {
    Takeover.Result owner = await(candidate("10.0.0.1:1", 17).run());
    Takeover.Delay ownerAppends = () -> store.append(write(owner, 1, "s.1")).mapEmpty();
    Future<Takeover.Result> isolated =
        candidate("10.0.0.2:1", 4, owner.epoch(), true, ownerAppends).run();
    await(isolated.otherwiseEmpty());
    assertThat(isolated.cause()).isInstanceOf(AbandonedException.class);
    await(store.append(write(owner, 2, "s.2")));
  }

  @Test
  void silentOwnerIsReplacedOnSuspicion() throws Exception {
    Takeover.Result owner = await(candidate("10.0.0.1:1", 17).run());
    Takeover.Result successor =
        await(candidate("10.0.0.2:1", 4, owner.epoch(), true, Future::succeededFuture).run());
    assertThat(successor.epoch()).isEqualTo(owner.epoch() + 1);
  }

  /**
   * Guards against a wait of seconds and against a second claim when the store carries out a claim
   * but its answer is lost on a connection that stays open. The candidate repeats the claim, and
   * the store answers the repetition as it did the first.
   */
  @Test
  void claimWithoutAnAnswerIsRepeated() throws Exception {
    storeServer.gate().plan(FaultPlan.once("append", Fault.SILENT_AFTER_EFFECT));
    Takeover.Result taken = await(candidate("10.0.0.1:1", 17).run());
    assertThat(taken.epoch()).isEqualTo(1);
    assertThat(memory.end(JournalKeys.TOPIC, 0)).isEqualTo(1);
  }

  private static Append write(Takeover.Result by, int offset, String key) {
    return new Append(
        JournalKeys.TOPIC,
        JournalKeys.PARTITION,
        List.of(new KeyedRecord(key, "value".getBytes(StandardCharsets.UTF_8))),
        OptionalLong.empty(),
        JournalKeys.PRODUCER,
        by.epoch(),
        by.sequence() + offset);
  }
}
