package org.hickorypier.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Runs calls of hickory one after another and writes down what an operator would see. */
final class Session {

  private final StringBuilder transcript = new StringBuilder();
  private final Map<String, String> environment = new HashMap<>();
  private final Map<String, String> replacements = new HashMap<>();
  private final AtomicInteger changes = new AtomicInteger();
  private final AtomicInteger pauses = new AtomicInteger();

  Session variable(String name, String value) {
    environment.put(name, value);
    return this;
  }

  /** Writes the second text wherever the first one stands, as ports differ from run to run. */
  Session replace(String text, String replacement) {
    replacements.put(text, replacement);
    return this;
  }

  int pauses() {
    return pauses.get();
  }

  ExitCode run(String... arguments) {
    return call(false, "", arguments);
  }

  ExitCode runScript(String script, String... arguments) {
    return call(false, script, arguments);
  }

  ExitCode runPrompt(String typed, String... arguments) {
    return call(true, typed, arguments);
  }

  private ExitCode call(boolean interactive, String input, String... arguments) {
    transcript.append("$ hickory ").append(String.join(" ", arguments)).append('\n');
    input.lines().forEach(line -> transcript.append("< ").append(line).append('\n'));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    Terminal terminal =
        new Terminal(new BufferedReader(new StringReader(input)), stream, stream, interactive);
    HickoryCommand command =
        new HickoryCommand(
            terminal,
            environment,
            () -> "change-" + changes.incrementAndGet(),
            duration -> pauses.incrementAndGet());
    try {
      ExitCode code = command.run(new ArrayList<>(List.of(arguments)));
      transcript.append(bytes.toString(StandardCharsets.UTF_8));
      transcript.append("[exit ").append(code.code()).append("]\n\n");
      return code;
    } catch (IOException | InterruptedException error) {
      throw new AssertionError(error);
    }
  }

  void assertMatches(String golden) throws IOException {
    String actual = transcript.toString();
    for (Map.Entry<String, String> replacement : replacements.entrySet()) {
      actual = actual.replace(replacement.getKey(), replacement.getValue());
    }
    Path copy = Path.of("target/golden").resolve(golden);
    Files.createDirectories(copy.getParent());
    Files.writeString(copy, actual);
    Path expected = Path.of("src/test/resources/golden").resolve(golden);
    assertThat(actual).as("see " + copy).isEqualTo(Files.readString(expected));
  }
}
