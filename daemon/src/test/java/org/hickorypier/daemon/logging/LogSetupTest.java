package org.hickorypier.daemon.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LogSetupTest {

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  @AfterEach
  void restoreLogOutput() {
    LogSetup.start("info", System.err);
  }

  @ParameterizedTest
  @CsvSource({
    "error,   ERROR",
    "warning, ERROR WARNING",
    "info,    ERROR WARNING INFO",
    "debug,   ERROR WARNING INFO DEBUG",
    "trace,   ERROR WARNING INFO DEBUG TRACE",
  })
  void levelFiltersProjectEvents(String level, String shown) {
    LogSetup.start(level, new PrintStream(bytes, true, StandardCharsets.UTF_8));
    System.Logger logger = System.getLogger("org.hickorypier.daemon.logging.example");
    for (Level each :
        new Level[] {Level.ERROR, Level.WARNING, Level.INFO, Level.DEBUG, Level.TRACE}) {
      logger.log(each, "example: event {0}", "r-1");
    }
    System.getLogger("io.vertx.example").log(Level.INFO, "library event");

    assertThat(bytes.toString(StandardCharsets.UTF_8).lines().map(line -> line.split(" +")[1]))
        .containsExactly(shown.split(" "));
    assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("example: event r-1\n");
  }

  // Guards against forged events: a caller sends a request id with a line break and an event
  // behind it, which must not become a line of its own.
  @Test
  void externalTextCannotStartNewLine() {
    LogRecord event =
        new LogRecord(java.util.logging.Level.INFO, "work: labels/r\n2026 ERROR forged\u001b[2J");
    event.setInstant(Instant.parse("2026-12-02T20:00:01.005Z"));

    assertThat(new LineFormatter().format(event))
        .isEqualTo("2026-12-02T20:00:01.005Z INFO    work: labels/r 2026 ERROR forged [2J\n");
  }

  @Test
  void errorWithCausesTakesOneLine() {
    LogRecord event = new LogRecord(java.util.logging.Level.SEVERE, "control: task failed");
    event.setThrown(new IllegalStateException("outer", new IllegalArgumentException("in\nner")));

    assertThat(new LineFormatter().format(event))
        .contains("ERROR   control: task failed | java.lang.IllegalStateException: outer at ")
        .contains(" | caused by java.lang.IllegalArgumentException: in ner at ")
        .containsOnlyOnce("\n");
  }
}
