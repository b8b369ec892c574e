package org.hickorypier.standins.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.standins.contract.Calls.failure;
import static org.hickorypier.standins.contract.Calls.result;
import static org.hickorypier.standins.contract.Calls.whole;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorypier.platform.http.HttpTimeouts;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.instance.HttpInstanceList;
import org.hickorypier.platform.instance.InstanceListException;
import org.hickorypier.platform.log.HttpLogService;
import org.hickorypier.platform.log.LogServiceException;
import org.hickorypier.platform.worker.HttpWorkerService;
import org.hickorypier.platform.worker.StartOrder;
import org.hickorypier.platform.worker.WorkerErrorKind;
import org.hickorypier.platform.worker.WorkerException;
import org.hickorypier.platform.worker.WorkerStatus;
import org.hickorypier.standins.contract.Served;
import org.hickorypier.standins.fault.ManualTime;
import org.hickorypier.standins.worker.InMemoryWorker;
import org.hickorypier.standins.worker.WorkerProfile;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections that are open, and over which nothing comes any more. */
class SilentConnectionTest {

  private static final WorkerErrorKind UNKNOWN = WorkerErrorKind.UNKNOWN_EFFECT;
  private static final int CONNECTIONS = 6;
  private static final Duration HOLD = Duration.ofMillis(50);
  private static final HttpTimeouts SHORT =
      new HttpTimeouts(Duration.ofSeconds(10), Duration.ofSeconds(1));

  private final Vertx vertx = Vertx.vertx();
  private final InMemoryWorker worker =
      new InMemoryWorker(WorkerProfile.usual("w1"), new ManualTime());
  private SilentServer between;
  private HttpWorkerService service;

  @BeforeEach
  void connect() throws IOException {
    Served served = new Served(vertx, new WorkerServer(vertx, worker).listen(0));
    between = new SilentServer(served.address());
    service = new HttpWorkerService(vertx, between.address(), CONNECTIONS, SHORT, HOLD);
  }

  @AfterEach
  void close() throws IOException {
    between.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /**
   * The caller sees one order of unknown effect, and the next order works. Both pooled connections
   * went silent at once; the first order finds one of them out, and with it the other is given up.
   */
  @Test
  void oneSilentAnswerSuffices() {
    result(service.claim("a#1", 0));
    openBothOrderConnections();
    between.loseTrack();

    assertThat(kind(failure(service.start(order("t~r~1~0"))))).isEqualTo(UNKNOWN);
    result(service.start(order("t~r~1~0")));
    result(service.renew(1, 1_000));

    assertThat(worker.history().starts()).hasSize(1);
  }

  /**
   * The caller sees the answer fail, though the task runs on. The held question was on a connection
   * that went silent; the hold has a bound, so its missing end shows, and a new question works.
   */
  @Test
  void silenceWhileAnAnswerIsHeldIsNoticed() {
    result(service.claim("a#1", 0));
    result(service.start(order("t~r~1~0")));
    CompletableFuture<Throwable> held = new CompletableFuture<>();
    whole(service.answer("t~r~1~0"))
        .subscribe()
        .with(bytes -> held.completeExceptionally(new AssertionError("ended")), held::complete);
    result(service.status());
    between.loseTrack();

    assertThat(kind(held.join())).isEqualTo(UNKNOWN);
    worker.restart();
    assertThat(kind(failure(whole(service.answer("t~r~1~0")))))
        .isEqualTo(WorkerErrorKind.BAD_ORDER);
  }

  /** No more connections are opened than agreed, however many questions are asked at once. */
  @Test
  void connectionsAreBounded() {
    HttpWorkerService patient =
        new HttpWorkerService(vertx, between.address(), CONNECTIONS, Served.PATIENT, HOLD);
    List<CompletableFuture<WorkerStatus>> questions = new ArrayList<>();
    for (int question = 0; question < 100; question++) {
      questions.add(patient.status().subscribeAsCompletionStage().toCompletableFuture());
    }

    questions.forEach(CompletableFuture::join);

    assertThat(between.connections()).isLessThanOrEqualTo(CONNECTIONS);
  }

  /** A server that accepts and never says a word: each call fails in the terms of its layer. */
  @Test
  void everyCallEnds() throws IOException {
    try (ServerSocket mute = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      ServiceAddress address = new ServiceAddress("127.0.0.1", mute.getLocalPort());
      HttpWorkerService muted =
          new HttpWorkerService(vertx, address, CONNECTIONS, Served.HASTY, HOLD);

      assertThat(kind(failure(muted.start(order("t~r~1~0"))))).isEqualTo(UNKNOWN);
      assertThat(kind(failure(whole(muted.answer("t~r~1~0"))))).isEqualTo(UNKNOWN);
      assertThat(failure(new HttpLogService(vertx, address, Served.HASTY).append("s", List.of())))
          .isInstanceOf(LogServiceException.class);
      assertThat(failure(new HttpInstanceList(vertx, address, Served.HASTY).read()))
          .isInstanceOf(InstanceListException.class);
    }
  }

  private void openBothOrderConnections() {
    List<CompletableFuture<WorkerStatus>> questions = new ArrayList<>();
    for (int question = 0; question < 20; question++) {
      questions.add(service.status().subscribeAsCompletionStage().toCompletableFuture());
    }
    questions.forEach(CompletableFuture::join);
    assertThat(between.connections()).isEqualTo(2);
  }

  private static StartOrder order(String taskId) {
    byte[] payload = "{\"service\":true}".getBytes(StandardCharsets.UTF_8);
    return new StartOrder(taskId, 1, "a#1", "labels", 1_000, 10, 0, 60_000, payload);
  }

  private static WorkerErrorKind kind(Throwable failure) {
    assertThat(failure).isInstanceOf(WorkerException.class);
    return ((WorkerException) failure).kind();
  }
}
