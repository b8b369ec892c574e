package org.hickorypier.standins.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hickorypier.platform.http.HttpReply;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.standins.executor.InMemoryExecutor;
import org.hickorypier.standins.executor.RunObserver;
import org.hickorypier.standins.executor.Workload;
import org.hickorypier.standins.fault.ManualTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls to a worker that is down reach its next incarnation, while their sender waits. */
class ExecutorServerTest {

  private static final long PATIENT_MILLIS = 20_000;
  private static final long SHORT_MILLIS = 200;
  private static final long POLL_MILLIS = 5;

  private final Vertx vertx = Vertx.vertx();
  private final ManualTime time = new ManualTime();
  private final InMemoryExecutor former = worker();
  private final InMemoryExecutor next = worker();
  private final ExecutorServer server = new ExecutorServer(vertx, former);
  private final PooledHttpClient calls = new PooledHttpClient(vertx, 4);
  private final ServiceAddress address =
      new ServiceAddress("127.0.0.1", await(server.listen(0)).actualPort());

  @AfterEach
  void close() {
    await(vertx.close());
  }

  @Test
  void startThatWaitsIsCarriedOutByNextIncarnation() {
    server.serve(null);
    Future<HttpReply> answer = call("run-start", start(1), PATIENT_MILLIS);
    assertThat(await(call("run-start", start(2), SHORT_MILLIS).otherwiseEmpty())).isNull();
    server.serve(next);
    assertThat(await(answer).status()).isEqualTo(200);
    assertThat(next.history()).contains("a.0.0.1#1");
    assertThat(former.history()).isEmpty();
  }

  @Test
  void renewalThatWaitsAcknowledgesEndsOnceAtNextIncarnation() throws Exception {
    JsonObject renewal = new JsonObject().put("SeenUpto", 57L).put("WaitMs", 1_000L);
    listEnd(former, 2);
    listEnd(next, 2);
    final Future<HttpReply> answer = call("hold", renewal, PATIENT_MILLIS);
    awaitAcknowledgement(former);
    server.serve(next);
    awaitAcknowledgement(next);
    listEnd(next, 3);
    JsonArray ended = new JsonObject(await(answer).body()).getJsonArray("Ended");
    assertThat(ended).hasSize(1);
  }

  private static void listEnd(InMemoryExecutor worker, int index) {
    worker.start(start(index));
    worker.stop(start(index));
  }

  private static void awaitAcknowledgement(InMemoryExecutor worker) throws InterruptedException {
    while (worker.hasEnds(0)) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  private Future<HttpReply> call(String operation, JsonObject body, long timeoutMillis) {
    return calls.call(
        address,
        HttpMethod.POST,
        "/hickorypier/" + operation,
        Map.of(),
        body.toBuffer(),
        timeoutMillis);
  }

  private InMemoryExecutor worker() {
    return new InMemoryExecutor("w1", 1, Workload.steady(60_000), RunObserver.NONE, time, time);
  }

  private static JsonObject start(int index) {
    return new JsonObject().put("Task", "a.0.0." + index).put("Run", 1).put("DeadlineMs", 9_000L);
  }

  private static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().orTimeout(30, TimeUnit.SECONDS).join();
  }
}
