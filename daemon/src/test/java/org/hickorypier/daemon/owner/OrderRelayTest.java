package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.cell.OwnerTokens;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.StartAnswer;
import org.hickorypier.core.cell.StartOutcome;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.platform.execution.StartOrder;
import org.hickorypier.platform.execution.WorkerClient;
import org.hickorypier.platform.http.PooledHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OrderRelayTest {

  private static final int EPOCH = 3;
  private static final long TOKEN = OwnerTokens.firstOf(EPOCH);
  private static final LinkReply NOT_SENT = new LinkReply.Failed();

  private final Vertx vertx = Vertx.vertx();
  private final List<String> events = new ArrayList<>();
  private long monotonicMillis = 1_000;
  private long wallMillis = 50_000;
  private final OrderRelay relay =
      new OrderRelay(
          new WorkerClient(new PooledHttpClient(vertx, 1)),
          new SuspensionDetector(() -> monotonicMillis, () -> wallMillis),
          (part, event, fields) -> events.add(event),
          () -> EPOCH,
          0);

  @AfterEach
  void close() {
    vertx.close();
  }

  private static LinkRequest.StartRun request(long token, boolean textIncluded) {
    RunKey run = new RunKey(new TaskName("5c0e7a21d94b36f8", 0, 0, 0), 1);
    String text = textIncluded ? "text" : "";
    return new LinkRequest.StartRun(
        new StartOrder("w", "127.0.0.1:1", run, text, 2_000, token, "", null), textIncluded);
  }

  /**
   * Guards against an order that was read after a suspension: its worker may have restarted, with a
   * clock on which the order's deadline is in the future.
   */
  @Test
  void orderFromLinkOpenedBeforeSuspensionIsNotSent() {
    wallMillis += 20_000;
    assertThat(relay.start(request(TOKEN, true), 500).result()).isEqualTo(NOT_SENT);
    assertThat(events).containsExactly("order-not-relayed");
  }

  @Test
  void orderWithoutKeptTextIsNotSent() {
    assertThat(relay.start(request(TOKEN, false), 500).result()).isEqualTo(NOT_SENT);
  }

  @Test
  void orderOfReplacedOwnerIsFenced() {
    assertThat(relay.start(request(TOKEN - 1, true), 500).result())
        .isEqualTo(new LinkReply.Started(StartAnswer.of(StartOutcome.FENCED)));
  }

  /** Guards against a process that keeps the texts of all submissions that it ever forwarded. */
  @Test
  void textsUsedLongAgoAreDropped() {
    relay.start(request(TOKEN, true), 500);
    for (int index = 0; index < 400; index++) {
      RunKey run = new RunKey(new TaskName("%016x".formatted(index), 0, 0, 0), 1);
      relay.start(
          new LinkRequest.StartRun(
              new StartOrder("w", "127.0.0.1:1", run, "x".repeat(4_000), 2_000, TOKEN, "", null),
              true),
          500);
    }
    assertThat(relay.start(request(TOKEN, false), 500).result()).isEqualTo(NOT_SENT);
  }
}
