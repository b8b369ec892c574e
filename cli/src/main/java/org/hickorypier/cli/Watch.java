package org.hickorypier.cli;

import java.time.Duration;
import org.hickorypier.language.Statement;

/** Repeats a query until it is broken off. Not thread safe. */
final class Watch {

  /** As often as instances tell one another of their work; more often would show nothing new. */
  private static final Duration PERIOD = Duration.ofSeconds(2);

  private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";

  private final Terminal terminal;
  private final StatementRunner runner;
  private final Pause pause;

  Watch(Terminal terminal, StatementRunner runner, Pause pause) {
    this.terminal = terminal;
    this.runner = runner;
    this.pause = pause;
  }

  /** Runs the query again and again; a server that does not answer does not end it. */
  ExitCode run(String text, String origin) throws InterruptedException, UsageException {
    Statement statement = runner.parse(text, origin).orElse(null);
    if (statement == null) {
      return ExitCode.USAGE;
    }
    if (!(statement instanceof Statement.Query)) {
      throw new UsageException("--watch goes with a query");
    }
    ExitCode code = runner.run(text, origin);
    while (code != ExitCode.REFUSED) {
      pause.pause(PERIOD);
      terminal.output().print(terminal.interactive() ? CLEAR_SCREEN : "\n");
      code = runner.run(text, origin);
    }
    return code;
  }
}
