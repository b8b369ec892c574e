package org.hickorypier.daemon.report;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class JsonLineLogTest {

  private final AtomicLong now = new AtomicLong(1_000_000);

  private static List<String> lines(ByteArrayOutputStream stream) {
    return stream.toString(StandardCharsets.UTF_8).lines().toList();
  }

  @Test
  void eventWithSpecialCharactersIsOneValidJsonLine() {
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    try (JsonLineLog log = new JsonLineLog("i", now::get, stream)) {
      log.event("part", "event", "text", "a \"quoted\"\nline \\", "number", 7, "flag", true);
    }
    assertThat(lines(stream)).hasSize(1);
    JsonObject line = new JsonObject(lines(stream).get(0));
    assertThat(line.getString("text")).isEqualTo("a \"quoted\" line \\");
    assertThat(line.getInteger("number")).isEqualTo(7);
    assertThat(line.getBoolean("flag")).isTrue();
  }

  @Test
  void linesAboveRateLimitOfOneKindAreDroppedAndCounted() {
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    try (JsonLineLog log = new JsonLineLog("i", now::get, stream)) {
      for (int index = 0; index < 1_000; index++) {
        log.event("part", "flood");
      }
      log.event("part", "rare");
      now.addAndGet(1_000);
      log.event("part", "flood");
      assertThat(log.droppedLines()).isEqualTo(600);
    }
    assertThat(lines(stream)).hasSize(402);
    assertThat(lines(stream).get(401)).contains("\"left_out_before\":600");
  }

  /** Guards against a permanently stalled reader of standard output that blocks logging threads. */
  @Test
  void stalledReaderBlocksNoCaller() throws InterruptedException {
    CountDownLatch stalled = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    OutputStream stream =
        new OutputStream() {
          @Override
          public void write(int next) {
            write(new byte[] {(byte) next}, 0, 1);
          }

          @Override
          public void write(byte[] bytes, int from, int length) {
            stalled.countDown();
            try {
              released.await();
            } catch (InterruptedException error) {
              Thread.currentThread().interrupt();
            }
          }
        };
    JsonLineLog log = new JsonLineLog("i", now::get, stream);
    log.event("part", "first");
    assertThat(stalled.await(10, TimeUnit.SECONDS)).isTrue();
    for (int second = 0; second < 20; second++) {
      for (int index = 0; index < 400; index++) {
        log.event("part", "event");
      }
      now.addAndGet(1_000);
    }
    assertThat(log.droppedLines()).isEqualTo(4_000);
    released.countDown();
    log.close();
  }
}
