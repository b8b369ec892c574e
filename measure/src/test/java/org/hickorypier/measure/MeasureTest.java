package org.hickorypier.measure;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MeasureTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... arguments) {
    return Measure.run(
        arguments,
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "decisions --workers 30,x       | '--workers is 'x', allowed is 1 to 20000'",
        "decisions --workers 0          | '--workers is '0', allowed is 1 to 20000'",
        "waiting --seconds 4            | '--seconds is '4', allowed is 5 to 3600'",
        "packing --seeds 101            | '--seeds is '101', allowed is 1 to 100'",
        "fairness --workers 7           | '--workers is '7', allowed is 8 to 5000'",
        "control --workers 601          | '--workers is '601', allowed is 1 to 600'",
        "memory --text 4001             | '--text is '4001', allowed is 0 to 4000'",
        "start --runs 0                 | '--runs is '0', allowed is 1 to 100'",
        "fairness here                  | 'here' is not an option",
        "nothing                        | 'nothing' is not a command"
      },
      quoteCharacter = '"')
  void badValueNamesValueAndRange(String line, String expected) {
    assertThat(run(line.strip().split(" "))).isEqualTo(Measure.EXIT_BAD_ARGUMENTS);
    String message =
        expected.startsWith("'--") ? expected.substring(1, expected.length() - 1) : expected;
    assertThat(err.toString(StandardCharsets.UTF_8)).contains(message);
  }

  @ParameterizedTest
  @CsvSource({
    "decisions --workers 4 --decisions 200 --seeds 1, decisions-4.hgrm",
    "waiting --workers 2 --seconds 5 --seeds 1, waiting-urgent-0.7.hgrm",
    "packing --workers 8 --seeds 2, packing.svg",
    "fairness --workers 16 --seeds 1, fairness.svg"
  })
  void commandPrintsFiguresAndPlots(String line, String plot, @TempDir Path directory)
      throws Exception {
    String[] arguments = (line + " --json --report " + directory).split(" ");

    assertThat(run(arguments)).isEqualTo(Measure.EXIT_MEASURED);
    assertThat(new ObjectMapper().readTree(out.toByteArray()).size()).isPositive();
    assertThat(Files.size(directory.resolve(plot))).isPositive();
  }

  /** Guards against a takeover that needs much more memory than the owner. */
  @Test
  void takeoverNeedsLittleMoreThanTheOwner() {
    assertThat(run("memory", "--submissions", "2000")).isEqualTo(Measure.EXIT_MEASURED);
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("aim.memory.peak met");
  }

  @Test
  void helpNamesEachCommandAndTheExitCodes() {
    assertThat(run("--help")).isEqualTo(Measure.EXIT_MEASURED);
    assertThat(out.toString(StandardCharsets.UTF_8))
        .contains("decisions", "waiting", "packing", "fairness", "exit codes");
  }
}
