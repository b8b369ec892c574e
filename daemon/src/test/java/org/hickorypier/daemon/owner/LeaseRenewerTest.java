package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.NetServer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.core.cell.ContactWindow;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.core.cell.WorkerTimeout;
import org.hickorypier.core.model.Resources;
import org.hickorypier.daemon.time.DelayMonitor;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.platform.execution.WorkerClient;
import org.hickorypier.platform.http.PooledHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LeaseRenewerTest {

  private static final String LOOPBACK = "127.0.0.1";
  private static final long TEST_TIMEOUT_SECONDS = 20;
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  private final Vertx vertx = Vertx.vertx();
  private final ManualTimerService timers = new ManualTimerService();
  private final Promise<Integer> callsUntilSilent = Promise.promise();
  private int calls;

  @AfterEach
  void close() {
    vertx.close();
  }

  /** The events that the renewer reports have no effect here. */
  private static final class NoEvents implements LeaseRenewer.Events {

    @Override
    public void workerAnswered() {}

    @Override
    public void fenced(String worker) {}

    @Override
    public void afterSave(Runnable action) {}
  }

  /**
   * Renews the lease of a worker that closes each connection, and retries until the worker counts
   * as silent.
   *
   * @param delayOfFirstCall how long the control thread is busy during the first call
   * @return the number of calls until then
   */
  private int callsUntilWorkerIsSilent(Duration delayOfFirstCall) throws Exception {
    Context control = vertx.getOrCreateContext();
    NetServer worker =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  control.runOnContext(none -> calls++);
                  socket.close();
                })
            .listen(0, LOOPBACK)
            .toCompletionStage()
            .toCompletableFuture()
            .get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    control.runOnContext(
        none -> {
          timers.advance(Duration.ofSeconds(1));
          LeaseRenewer renewer = renewer(LOOPBACK + ":" + worker.actualPort());
          renewer.renew();
          timers.delayNext(delayOfFirstCall);
          vertx.setPeriodic(5, id -> control.runOnContext(tick -> timers.advance(RETRY_DELAY)));
        });
    return callsUntilSilent
        .future()
        .toCompletionStage()
        .toCompletableFuture()
        .get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private LeaseRenewer renewer(String address) {
    EventLog log =
        (part, event, fields) -> {
          if (event.equals("worker-silent")) {
            callsUntilSilent.tryComplete(calls);
          }
        };
    return renewer(address, log);
  }

  private LeaseRenewer renewer(String address, EventLog log) {
    CellTimings timings = CellTimings.of(10_000, 3_000, 60_000);
    WorkerEntry entry =
        new WorkerEntry("w", "service", address, false, 0, Resources.NONE, List.of("k", "r"), 1);
    return renewer(
        new RosterEntry(entry, RosterEntry.OPEN, RosterEntry.RENEWED, Optional.empty()),
        timings,
        log);
  }

  private LeaseRenewer renewer(RosterEntry restored, CellTimings timings, EventLog log) {
    Cell cell = new Cell(timings, new NoOutput(), log, 1, timers.nowMillis());
    cell.restoreRoster(List.of(restored));
    OwnerDependencies dependencies =
        new OwnerDependencies(
            null,
            new WorkerClient(new PooledHttpClient(vertx, 1)),
            timers,
            timers::nowMillis,
            new SuspensionDetector(timers::nowMillis, timers::nowMillis),
            new DelayMonitor(timers),
            log,
            timings,
            1_500,
            250_000,
            0.12,
            1 << 20,
            1 << 20);
    return new LeaseRenewer(
        dependencies,
        cell,
        cell.workers().get(0),
        () -> true,
        new WorkerTimeout(0),
        new ContactWindow(dependencies.processors()),
        new NoEvents());
  }

  /** Guards against calls without a pause to a drained worker, which gets no lease. */
  @Test
  void renewalOfDrainedWorkerWaitsForEnds() throws Exception {
    Context control = vertx.getOrCreateContext();
    Promise<Long> waitOfSecondCall = Promise.promise();
    HttpServer worker =
        vertx
            .createHttpServer()
            .requestHandler(
                request ->
                    request
                        .body()
                        .onSuccess(
                            body -> {
                              calls++;
                              if (calls == 2) {
                                waitOfSecondCall.complete(body.toJsonObject().getLong("WaitMs"));
                              }
                              request.response().end("{\"ClockMs\":1,\"born\":1}");
                            }))
            .listen(0, LOOPBACK)
            .toCompletionStage()
            .toCompletableFuture()
            .get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    String address = LOOPBACK + ":" + worker.actualPort();
    WorkerEntry drained =
        new WorkerEntry("w", "service", address, true, 0, Resources.NONE, List.of("k", "r"), 1);
    control.runOnContext(
        none -> {
          renewer(
                  new RosterEntry(drained, 0, RosterEntry.RENEWED, Optional.of(List.of())),
                  CellTimings.of(10_000, 3_000, 60_000),
                  (part, event, fields) -> {})
              .renew();
          vertx.setPeriodic(5, id -> control.runOnContext(tick -> timers.advance(RETRY_DELAY)));
        });
    assertThat(
            waitOfSecondCall
                .future()
                .toCompletionStage()
                .toCompletableFuture()
                .get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS))
        .isPositive();
  }

  /** Guards against a worker whose lease expires since one of its reports could not be applied. */
  @Test
  void renewalFollowsReportThatCannotBeApplied() throws Exception {
    Context control = vertx.getOrCreateContext();
    Promise<Void> renewedAgain = Promise.promise();
    HttpServer worker =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  calls++;
                  if (calls > 1) {
                    renewedAgain.tryComplete();
                  }
                  request.response().end("{\"ClockMs\":1,\"born\":1}");
                })
            .listen(0, LOOPBACK)
            .toCompletionStage()
            .toCompletableFuture()
            .get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    EventLog failingLog =
        (part, event, fields) -> {
          if (event.equals("worker-heard")) {
            throw new IllegalStateException("the report cannot be applied");
          }
        };
    control.runOnContext(
        none -> {
          renewer(LOOPBACK + ":" + worker.actualPort(), failingLog).renew();
          vertx.setPeriodic(5, id -> control.runOnContext(tick -> timers.advance(RETRY_DELAY)));
        });
    renewedAgain
        .future()
        .toCompletionStage()
        .toCompletableFuture()
        .get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void workerWithoutAnswerIsSilent() throws Exception {
    assertThat(callsUntilWorkerIsSilent(Duration.ZERO)).isEqualTo(1);
  }

  /** Failure: tasks run twice since their worker's answers lie unread while the owner is busy. */
  @Test
  void missingAnswerWhileControlThreadIsDelayedSaysNothing() throws Exception {
    assertThat(callsUntilWorkerIsSilent(Duration.ofMillis(700))).isGreaterThan(1);
  }
}
