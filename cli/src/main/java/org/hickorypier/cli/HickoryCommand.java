package org.hickorypier.cli;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.hickorypier.cli.client.HttpOperatorClient;
import org.hickorypier.cli.client.OperatorClient;

/** One call of hickory. Not thread safe. */
final class HickoryCommand {

  private static final String ORIGIN = "hickory: ";

  private final Terminal terminal;
  private final Map<String, String> environment;
  private final Supplier<String> changeIds;
  private final Pause pause;

  HickoryCommand(
      Terminal terminal, Map<String, String> environment, Supplier<String> changeIds, Pause pause) {
    this.terminal = terminal;
    this.environment = environment;
    this.changeIds = changeIds;
    this.pause = pause;
  }

  ExitCode run(List<String> arguments) throws IOException, InterruptedException {
    try {
      Invocation invocation = new InvocationReader().read(arguments, environment);
      HelpPrinter help = new HelpPrinter(terminal);
      List<String> words = invocation.words();
      if (!words.isEmpty() && words.get(0).equals(HelpPrinter.VERB)) {
        return help.print(words.subList(1, words.size()));
      }
      if (words.equals(List.of(CompletionScript.VERB))) {
        terminal.output().print(new CompletionScript().text());
        return ExitCode.DONE;
      }
      return runStatements(invocation, help);
    } catch (UsageException error) {
      terminal.errors().println(ORIGIN + error.getMessage());
      return ExitCode.USAGE;
    }
  }

  private ExitCode runStatements(Invocation invocation, HelpPrinter help)
      throws UsageException, IOException, InterruptedException {
    if (invocation.key().isEmpty()) {
      throw new UsageException("no key; give --key or set " + InvocationReader.KEY_VARIABLE);
    }
    if (invocation.changeId().isPresent() && invocation.words().isEmpty()) {
      throw new UsageException("--change-id goes with one statement");
    }
    if (invocation.watching() && invocation.words().isEmpty()) {
      throw new UsageException("--watch goes with a query");
    }
    try (OperatorClient client = new HttpOperatorClient(invocation.servers(), invocation.key())) {
      ResultPrinter printer = new ResultPrinter(terminal, invocation.format());
      StatementRunner runner =
          new StatementRunner(
              client,
              printer,
              () -> invocation.changeId().orElseGet(changeIds),
              pause,
              invocation.waiting());
      if (!invocation.words().isEmpty()) {
        String text = String.join(" ", invocation.words());
        return invocation.watching()
            ? new Watch(terminal, runner, pause).run(text, ORIGIN)
            : runner.run(text, ORIGIN);
      }
      return terminal.interactive()
          ? new Prompt(terminal, runner, help).run()
          : new ScriptRunner(runner, printer, invocation.keepGoing()).run(terminal.input());
    }
  }
}
