package org.hickorypier.cli;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.hickorypier.cli.client.NoServerException;
import org.hickorypier.cli.client.OperatorClient;
import org.hickorypier.language.Statement;
import org.hickorypier.language.StatementParser;
import org.hickorypier.language.StatementPrinter;
import org.hickorypier.language.StatementSyntaxException;
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResult.Accepted;

/**
 * Checks, sends and prints one statement after another. Not thread safe.
 *
 * <p>A statement with an error of syntax is never sent.
 */
final class StatementRunner {

  /** Instances fold within seconds; whoever is behind after this long has a fault of its own. */
  private static final int MOST_QUESTIONS = 60;

  private static final Duration BETWEEN_QUESTIONS = Duration.ofMillis(500);

  private final OperatorClient client;
  private final ResultPrinter printer;
  private final Supplier<String> changeIds;
  private final Pause pause;
  private final boolean waiting;
  private final StatementParser parser = new StatementParser();
  private final StatementPrinter statementPrinter = new StatementPrinter();

  StatementRunner(
      OperatorClient client,
      ResultPrinter printer,
      Supplier<String> changeIds,
      Pause pause,
      boolean waiting) {
    this.client = client;
    this.printer = printer;
    this.changeIds = changeIds;
    this.pause = pause;
    this.waiting = waiting;
  }

  /** Parses a text, and prints what is wrong with it if it is no statement. */
  Optional<Statement> parse(String text, String origin) {
    try {
      return Optional.of(parser.parse(text));
    } catch (StatementSyntaxException error) {
      printer.printSyntaxError(text, error.column(), error.getMessage(), origin);
      return Optional.empty();
    }
  }

  ExitCode run(String text, String origin) throws InterruptedException {
    Optional<Statement> statement = parse(text, origin);
    return statement.isPresent() ? run(statement.get(), origin) : ExitCode.USAGE;
  }

  private ExitCode run(Statement statement, String origin) throws InterruptedException {
    String text = statementPrinter.print(statement);
    String changeId = changeIds.get();
    try {
      return finish(text, await(client.submit(text, changeId)), origin);
    } catch (NoServerException error) {
      printer.printError(error.getMessage(), origin);
      if (error.mayHaveTakenEffect() && statement instanceof Statement.Change) {
        printer.printError(
            "it may have taken effect; --change-id " + changeId + " repeats it safely", origin);
      }
      return ExitCode.UNREACHABLE;
    }
  }

  private ExitCode finish(String text, StatementResult result, String origin)
      throws InterruptedException {
    if (result instanceof Accepted accepted) {
      printer.printAccepted(accepted);
      Accepted last = waiting ? waitFor(accepted) : accepted;
      printer.printProgress(last);
      return last.inForce() ? ExitCode.DONE : ExitCode.NOT_IN_FORCE;
    }
    if (result instanceof StatementResult.Problem problem
        && problem.column() != StatementResult.NO_COLUMN) {
      printer.printSyntaxError(text, problem.column(), problem.message(), origin);
      return ExitCode.USAGE;
    }
    printer.print(result, origin);
    return result instanceof StatementResult.Table ? ExitCode.DONE : ExitCode.REFUSED;
  }

  private Accepted waitFor(Accepted accepted) throws InterruptedException {
    Accepted last = accepted;
    for (int asked = 0; asked < MOST_QUESTIONS && !last.inForce(); asked++) {
      pause.pause(BETWEEN_QUESTIONS);
      last = ask(last);
    }
    return last;
  }

  // A question that gets no answer says nothing about the change, which is accepted already; the
  // next question may get one.
  private Accepted ask(Accepted accepted) {
    try {
      if (await(client.change(accepted.offset())) instanceof Accepted answer) {
        return new Accepted(
            accepted.offset(),
            accepted.note(),
            answer.inForce(),
            answer.behind(),
            accepted.secret());
      }
      return accepted;
    } catch (NoServerException error) {
      return accepted;
    }
  }

  private static StatementResult await(Uni<StatementResult> result) throws NoServerException {
    try {
      return result.await().indefinitely();
    } catch (CompletionException error) {
      if (error.getCause() instanceof NoServerException cause) {
        throw cause;
      }
      throw error;
    }
  }
}
