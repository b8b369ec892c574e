package org.hickorypier.cli;

import java.io.IOException;
import java.util.List;
import java.util.Set;

/** The interactive prompt. An error does not end it. Not thread safe. */
final class Prompt {

  private static final String PROMPT = "hickory> ";
  private static final Set<String> ENDING_WORDS = Set.of("exit", "quit");

  private final Terminal terminal;
  private final StatementRunner runner;
  private final HelpPrinter help;

  Prompt(Terminal terminal, StatementRunner runner, HelpPrinter help) {
    this.terminal = terminal;
    this.runner = runner;
    this.help = help;
  }

  ExitCode run() throws IOException, InterruptedException {
    terminal.output().println("hickory: help lists the statements, exit ends.");
    String line = ask();
    while (line != null && !ENDING_WORDS.contains(line)) {
      handle(line);
      line = ask();
    }
    return ExitCode.DONE;
  }

  private String ask() throws IOException {
    terminal.output().print(PROMPT);
    terminal.output().flush();
    String line = terminal.input().readLine();
    return line == null ? null : line.strip();
  }

  private void handle(String line) throws InterruptedException {
    List<String> words = List.of(line.split("\\s+"));
    if (words.get(0).equals(HelpPrinter.VERB)) {
      help.print(words.subList(1, words.size()));
    } else if (!line.isEmpty() && !line.startsWith("#")) {
      runner.run(line, "");
    }
  }
}
