package org.hickorypier.standins.worker;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.standins.contract.Calls.failure;
import static org.hickorypier.standins.contract.Calls.result;
import static org.hickorypier.standins.contract.Calls.whole;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hickorypier.platform.worker.StartOrder;
import org.hickorypier.platform.worker.TaskState;
import org.hickorypier.platform.worker.TaskStatus;
import org.hickorypier.platform.worker.WorkerErrorKind;
import org.hickorypier.platform.worker.WorkerException;
import org.hickorypier.platform.worker.WorkerService;
import org.hickorypier.platform.worker.WorkerStatus;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.fault.ManualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What every worker does, whatever carries the calls. */
abstract class WorkerServiceContract {

  static final String TASK = "norte~labels 7~1~0";
  private static final String SERVICE = "{\"service\":true}";
  private static final long LEASE_MILLIS = 10_000;

  final ManualTime time = new ManualTime();
  final InMemoryWorker worker =
      new InMemoryWorker(new WorkerProfile("w1", "dc1", "r1", 4_000, 1_000, 1, 2), time);

  abstract WorkerService service();

  /** Returns a service whose timeouts are short, for calls that are never answered. */
  abstract WorkerService hastyService();

  abstract void plan(FaultPlan plan);

  /** Returns a service that has no connection and gets none. */
  abstract WorkerService unpluggedService();

  @Test
  void tellsWhatItIs() {
    WorkerStatus status = result(service().status());

    assertThat(status.name()).isEqualTo("w1");
    assertThat(status.milliProcessors()).isEqualTo(4_000);
    assertThat(status.slots()).isEqualTo(2);
    assertThat(status.token()).isZero();
    assertThat(status.controller()).isEmpty();
  }

  @Test
  void grantsControlOnceForEachObservedToken() {
    assertThat(result(service().claim("a#1", 0)).token()).isEqualTo(1);
    assertThat(kind(failure(service().claim("b#1", 0)))).isEqualTo(WorkerErrorKind.STALE_TOKEN);
    assertThat(result(service().claim("b#1", 1)).controller()).isEqualTo("b#1");
  }

  @ParameterizedTest
  @CsvSource({"start", "renew", "stop", "throttle"})
  void refusesOrdersOfFormerController(String order) {
    claim();
    result(service().start(order("t~r~1~0", 1, 1_000, SERVICE)));
    result(service().claim("b#1", 1));

    var late =
        switch (order) {
          case "start" -> service().start(order("t~r~1~1", 1, 1_000, SERVICE));
          case "renew" -> service().renew(1, LEASE_MILLIS);
          case "stop" -> service().stop("t~r~1~0", 1, true);
          default -> service().throttle("t~r~1~0", 1, 50);
        };

    assertThat(kind(failure(late))).isEqualTo(WorkerErrorKind.STALE_TOKEN);
    assertThat(worker.history().starts()).hasSize(1);
    assertThat(worker.task("t~r~1~0").state()).isEqualTo(TaskState.RUNNING);
  }

  @Test
  void startsEachTaskIdOnce() {
    claim();
    result(service().start(order(TASK, 1, 1_000, SERVICE)));

    assertThat(result(service().start(order(TASK, 1, 1_000, SERVICE))).state())
        .isEqualTo(TaskState.RUNNING);
    assertThat(worker.history().starts()).hasSize(1);
    assertThat(worker.history().doubleStarts()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "1000, 1000, 0, 'one slot is left',      true",
    "3001, 0,    0, 'too many processors',   false",
    "0,    901,  0, 'too much memory',       false",
    "0,    0,    2, 'too many accelerators', false",
  })
  void refusesWhatDoesNotFit(
      long processors, long memory, int accelerators, String why, boolean fits) {
    claim();
    result(service().start(new StartOrder("a", 1, "a#1", "c", 1_000, 100, 0, 1, bytes(SERVICE))));
    StartOrder next =
        new StartOrder(
            "b", 1, "a#1", "c", processors, fits ? 0 : memory, accelerators, 9, bytes(SERVICE));

    if (fits) {
      result(service().start(next));
      StartOrder third = order("third", 1, 0, SERVICE);
      assertThat(kind(failure(service().start(third)))).isEqualTo(WorkerErrorKind.NO_ROOM);
    } else {
      assertThat(kind(failure(service().start(next)))).as(why).isEqualTo(WorkerErrorKind.NO_ROOM);
    }
    assertThat(worker.history().overCapacity()).isFalse();
  }

  @Test
  void refusesStartsWhileLeavingButKeepsWhatRuns() {
    claim();
    result(service().start(order("a", 1, 1, SERVICE)));
    worker.conditions(new WorkerConditions(true, false, Set.of()));

    assertThat(kind(failure(service().start(order("b", 1, 1, SERVICE)))))
        .isEqualTo(WorkerErrorKind.LEAVING);
    assertThat(result(service().status()).leaving()).isTrue();
    assertThat(result(service().task("a")).state()).isEqualTo(TaskState.RUNNING);
  }

  @Test
  void refusesMalformedOrders() {
    claim();

    assertThat(kind(failure(service().start(order("a", 1, -1, SERVICE)))))
        .isEqualTo(WorkerErrorKind.BAD_ORDER);
    assertThat(kind(failure(whole(service().answer("never")))))
        .isEqualTo(WorkerErrorKind.BAD_ORDER);
  }

  @Test
  void knowsNothingOfTasksThatNeverStarted() {
    claim();

    TaskStatus status = result(service().task("never"));

    assertThat(status.state()).isEqualTo(TaskState.UNKNOWN);
    assertThat(status.token()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({
    "'{\"runMillis\":50}',                  COMPLETED, 50",
    "'{\"runMillis\":50,\"fail\":true}',    FAILED,    50",
    "'{\"runMillis\":99000}',               LAPSED,    10000",
    "'{\"service\":true}',                  LAPSED,    10000",
    "'just text',                           COMPLETED, 0",
  })
  void endsTasksByTheirWorkOrTheirLease(String payload, TaskState end, long endMillis) {
    claim();
    result(service().start(order(TASK, 1, 1, payload)));
    CompletableFuture<byte[]> answer =
        whole(service().answer(TASK)).subscribeAsCompletionStage().toCompletableFuture();

    pass(LEASE_MILLIS);

    assertThat(new String(answer.join(), StandardCharsets.UTF_8))
        .startsWith("task " + TASK + " " + payload);
    assertThat(result(service().task(TASK)).state()).isEqualTo(end);
    assertThat(worker.history().starts().get(0).endMillis()).isEqualTo(endMillis);
  }

  @Test
  void renewalKeepsTasksRunning() {
    claim();
    result(service().start(order(TASK, 1, 1, SERVICE)));
    pass(LEASE_MILLIS - 1);
    result(service().renew(1, LEASE_MILLIS));
    pass(LEASE_MILLIS - 1);

    assertThat(result(service().task(TASK)).state()).isEqualTo(TaskState.RUNNING);
    pass(1);
    assertThat(result(service().task(TASK)).state()).isEqualTo(TaskState.LAPSED);
  }

  @Test
  void stopsTasksAndReportsUsageWithLag() {
    claim();
    result(service().start(order(TASK, 1, 2_000, SERVICE)));
    assertThat(result(service().task(TASK)).usedMilliProcessors()).isZero();
    pass(1_000);
    result(service().throttle(TASK, 1, 25));
    assertThat(result(service().task(TASK)).usedMilliProcessors()).isEqualTo(500);

    assertThat(result(service().stop(TASK, 1, true)).state()).isEqualTo(TaskState.STOPPED);
    assertThat(result(service().stop("never", 1, true)).state()).isEqualTo(TaskState.UNKNOWN);
  }

  @Test
  void streamsLongAnswersWholeAndMoreThanOnce() {
    claim();
    int length = 5_000_001;
    result(service().start(order(TASK, 1, 1, "{\"answerBytes\":" + length + "}")));

    byte[] first = result(whole(service().answer(TASK)));

    assertThat(first).hasSize(length);
    assertThat(result(whole(service().answer(TASK)))).isEqualTo(first);
  }

  /**
   * The caller sees an error in place of the end of the answer, never an answer that is merely
   * short. The task is untouched, so the same question gets the whole answer afterwards.
   */
  @ParameterizedTest
  @CsvSource({"CUT_BODY", "RESET_BEFORE_EFFECT", "UNAVAILABLE", "SILENT_BEFORE_EFFECT"})
  void failsAnswersThatBreakOff(Fault fault) {
    claim();
    result(service().start(order(TASK, 1, 1, "{\"answerBytes\":300000}")));
    plan(FaultPlan.once(WorkerOperations.ANSWER, fault));

    Throwable failure = failure(whole(serviceFor(fault).answer(TASK)));

    assertThat(kind(failure)).isEqualTo(WorkerErrorKind.UNKNOWN_EFFECT);
    assertThat(result(whole(service().answer(TASK)))).hasSize(300_000);
  }

  /**
   * The order is written, then the connection breaks or goes silent, before or after the worker
   * acted on it. The caller cannot tell which, so it must not be told "no effect"; the same order
   * sent again settles it, and the task has started once either way.
   */
  @ParameterizedTest
  @CsvSource({
    "UNAVAILABLE,          0",
    "RESET_BEFORE_EFFECT,  0",
    "SILENT_BEFORE_EFFECT, 0",
    "RESET_AFTER_EFFECT,   1",
    "SILENT_AFTER_EFFECT,  1",
    "CUT_BODY,             1",
  })
  void startOfUnknownEffectIsSettledByTheSameOrder(Fault fault, int started) {
    claim();
    plan(FaultPlan.once(WorkerOperations.START, fault));
    StartOrder order = order(TASK, 1, 1, SERVICE);

    Throwable failure = failure(serviceFor(fault).start(order));

    assertThat(kind(failure)).isEqualTo(WorkerErrorKind.UNKNOWN_EFFECT);
    assertThat(worker.history().starts()).hasSize(started);
    assertThat(result(service().start(order)).state()).isEqualTo(TaskState.RUNNING);
    assertThat(worker.history().starts()).hasSize(1);
  }

  /** No connection comes about, so the order has certainly had no effect and may go elsewhere. */
  @Test
  void orderWithoutConnectionIsNotSent() {
    claim();
    WorkerService unplugged = unpluggedService();

    assertThat(kind(failure(unplugged.start(order(TASK, 1, 1, SERVICE)))))
        .isEqualTo(WorkerErrorKind.NOT_SENT);
    assertThat(worker.history().starts()).isEmpty();
  }

  /** A restarted worker runs nothing, and what was ordered before the restart is refused. */
  @Test
  void restartForgetsTasksAndOutdatesTokens() {
    claim();
    result(service().start(order(TASK, 1, 1, SERVICE)));
    worker.restart();

    assertThat(result(service().task(TASK)).state()).isEqualTo(TaskState.UNKNOWN);
    assertThat(kind(failure(service().start(order(TASK, 1, 1, SERVICE)))))
        .isEqualTo(WorkerErrorKind.STALE_TOKEN);
    assertThat(result(service().status()).token()).isGreaterThan(1);
  }

  private WorkerService serviceFor(Fault fault) {
    boolean silent = fault == Fault.SILENT_BEFORE_EFFECT || fault == Fault.SILENT_AFTER_EFFECT;
    return silent ? hastyService() : service();
  }

  private void claim() {
    result(service().claim("a#1", 0));
  }

  private void pass(long millis) {
    time.advance(millis);
    worker.settle();
  }

  private static StartOrder order(String taskId, long token, long processors, String payload) {
    return new StartOrder(
        taskId, token, "a#1", "labels", processors, 10, 0, LEASE_MILLIS, bytes(payload));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static WorkerErrorKind kind(Throwable failure) {
    assertThat(failure).isInstanceOf(WorkerException.class);
    return ((WorkerException) failure).kind();
  }
}
