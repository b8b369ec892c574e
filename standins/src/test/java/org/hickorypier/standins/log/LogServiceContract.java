package org.hickorypier.standins.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.standins.contract.Calls.failure;
import static org.hickorypier.standins.contract.Calls.result;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorypier.platform.log.LogPage;
import org.hickorypier.platform.log.LogRange;
import org.hickorypier.platform.log.LogService;
import org.hickorypier.platform.log.LogServiceException;
import org.hickorypier.platform.log.OffsetExpiredException;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.fault.ManualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What every log service does, whatever carries the calls. */
abstract class LogServiceContract {

  private static final String STREAM = "configuration";
  private static final Duration NO_WAIT = Duration.ZERO;
  private static final long DAY_MILLIS = 86_400_000;
  private static final int KEPT = 5;

  final ManualTime time = new ManualTime();
  final InMemoryLog log = new InMemoryLog(time, new LogRetention(KEPT, DAY_MILLIS));

  abstract LogService service();

  /** Returns a service whose timeouts are short, for calls that are never answered. */
  abstract LogService hastyService();

  abstract void plan(FaultPlan plan);

  /** Lets a held read of this length come to its end. */
  abstract void endWait(Duration wait);

  @Test
  void givesRisingOffsetsAndTheBytesBack() {
    byte[] binary = {0, -1, 127, '"', '\n'};

    assertThat(result(service().append(STREAM, List.of(bytes("a"), binary)))).isZero();
    assertThat(result(service().append(STREAM, List.of(bytes("c"))))).isEqualTo(2);

    LogPage page = result(service().read(STREAM, 0, 2, NO_WAIT));
    assertThat(page.records().get(1).data()).isEqualTo(binary);
    assertThat(page.records().get(1).offset()).isEqualTo(1);
    assertThat(page.nextOffset()).isEqualTo(2);
    assertThat(texts(result(service().read(STREAM, 2, 9, NO_WAIT)))).containsExactly("c");
    assertThat(result(service().range(STREAM))).isEqualTo(new LogRange(0, 3));
  }

  @Test
  void keepsStreamsApartAndKnowsEmptyOnes() {
    result(service().append("one", List.of(bytes("a"))));

    assertThat(result(service().range("other"))).isEqualTo(new LogRange(0, 0));
    assertThat(result(service().read("other", 0, 9, NO_WAIT))).isEqualTo(new LogPage(List.of(), 0));
  }

  @Test
  void refusesExpiredOffsetsAndNamesTheOldest() {
    for (int record = 0; record < KEPT + 2; record++) {
      result(service().append(STREAM, List.of(bytes("r" + record))));
    }

    assertThat(failure(service().read(STREAM, 0, 9, NO_WAIT)))
        .isInstanceOfSatisfying(
            OffsetExpiredException.class, error -> assertThat(error.oldestOffset()).isEqualTo(2));

    time.advance(DAY_MILLIS + 1);
    assertThat(result(service().range(STREAM))).isEqualTo(new LogRange(KEPT + 2, KEPT + 2));
  }

  @Test
  void holdsReadUntilAnAppend() {
    CompletableFuture<LogPage> held =
        service()
            .read(STREAM, 0, 9, Duration.ofSeconds(15))
            .subscribeAsCompletionStage()
            .toCompletableFuture();

    result(service().append(STREAM, List.of(bytes("late"))));

    assertThat(texts(held.join())).containsExactly("late");
  }

  @Test
  void endsHeldReadEmptyHandedAfterItsWait() {
    Duration wait = Duration.ofMillis(20);
    CompletableFuture<LogPage> held =
        service().read(STREAM, 0, 9, wait).subscribeAsCompletionStage().toCompletableFuture();

    endWait(wait);

    assertThat(held.join()).isEqualTo(new LogPage(List.of(), 0));
  }

  /**
   * The caller sees the same exception for each fault. Before: nothing was appended. After: the
   * records are there though the answer was lost. Only reading tells; the caller must not conclude
   * from the exception that it may append again.
   */
  @ParameterizedTest
  @CsvSource({
    "UNAVAILABLE,          0",
    "RESET_BEFORE_EFFECT,  0",
    "SILENT_BEFORE_EFFECT, 0",
    "RESET_AFTER_EFFECT,   2",
    "SILENT_AFTER_EFFECT,  2",
    "CUT_BODY,             2",
  })
  void failsAlikeWhateverReallyHappened(Fault fault, int appended) {
    plan(FaultPlan.once(LogOperations.APPEND, fault));
    LogService service = isSilent(fault) ? hastyService() : service();

    Throwable failure = failure(service.append(STREAM, List.of(bytes("a"), bytes("b"))));

    assertThat(failure).isInstanceOf(LogServiceException.class);
    assertThat(log.range(STREAM).nextOffset()).isEqualTo(appended);
    assertThat(result(service().append(STREAM, List.of(bytes("c"))))).isEqualTo(appended);
  }

  @ParameterizedTest
  @CsvSource({"read", "range"})
  void failsQuestionsDuringAnOutageAndRecovers(String operation) {
    result(service().append(STREAM, List.of(bytes("a"))));
    plan(FaultPlan.always("", Fault.UNAVAILABLE));

    var question =
        operation.equals("read") ? service().read(STREAM, 0, 1, NO_WAIT) : service().range(STREAM);

    assertThat(failure(question)).isInstanceOf(LogServiceException.class);
    plan(FaultPlan.NONE);
    assertThat(result(service().range(STREAM)).nextOffset()).isEqualTo(1);
  }

  static boolean isSilent(Fault fault) {
    return fault == Fault.SILENT_BEFORE_EFFECT || fault == Fault.SILENT_AFTER_EFFECT;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static List<String> texts(LogPage page) {
    List<String> texts = new ArrayList<>();
    page.records().forEach(entry -> texts.add(new String(entry.data(), StandardCharsets.UTF_8)));
    return texts;
  }
}
