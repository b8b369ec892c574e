package org.hickorypier.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class HickorydMainTest {

  /** No service listens there, so the daemon has no log and no workers. */
  private static final String NOWHERE = "127.0.0.1:1";

  // A supervisor sends SIGTERM and sees the exit code 0, and the log tells of the shutdown. Without
  // its own exit code the daemon would end with 143, which looks like a crash; without its own log
  // manager the platform would take the handlers away before the daemon's shutdown has begun.
  @Test
  void endsWithZeroAndLogsItsShutdownOnSigterm() throws IOException, InterruptedException {
    Process daemon = start("--http-port", "0", "--peer-port", "0");
    try (BufferedReader output = reader(daemon)) {
      assertThat(output.readLine()).startsWith("listening ");
      daemon.toHandle().destroy();
      assertThat(daemon.waitFor()).isZero();
    }
    assertThat(errors(daemon))
        .containsSubsequence("INFO    daemon: shutting down\n", "INFO    daemon: stopped");
  }

  @Test
  void endsWithTwoIfSettingsAreWrong() throws IOException, InterruptedException {
    Process daemon = start("--http-port", "70000", "--host", "nowhere");

    assertThat(daemon.waitFor()).isEqualTo(2);
    assertThat(errors(daemon)).contains("--http-port").contains("--host");
  }

  private static Process start(String... flags) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:+UseSerialGC", "-Xmx96m"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add(HickorydMain.class.getName());
    command.addAll(List.of("--name", "entry-1", "--data-centre", "norte-a"));
    command.addAll(List.of("--log-service", NOWHERE, "--instance-list", NOWHERE));
    command.addAll(List.of("--peer-secret", "0123456789abcdef"));
    command.addAll(List.of(flags));
    return new ProcessBuilder(command).start();
  }

  private static BufferedReader reader(Process process) {
    return new BufferedReader(
        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
  }

  private static String errors(Process process) throws IOException {
    try (BufferedReader errors =
        new BufferedReader(
            new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
      return errors.lines().collect(Collectors.joining("\n"));
    }
  }
}
