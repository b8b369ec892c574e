package org.hickorypier.cli;

import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResultCodec;

/** Prints results in one of the formats. Not thread safe, as its terminal is not. */
final class ResultPrinter {

  private final Terminal terminal;
  private final OutputFormat format;
  private final StatementResultCodec codec = new StatementResultCodec();
  private final TablePrinter tables = new TablePrinter();

  ResultPrinter(Terminal terminal, OutputFormat format) {
    this.terminal = terminal;
    this.format = format;
  }

  /** Prints a result other than an accepted change. */
  void print(StatementResult result, String origin) {
    if (format == OutputFormat.JSON) {
      terminal.output().println(codec.encode(result));
    } else if (result instanceof StatementResult.Table table) {
      terminal.output().print(tables.print(table));
    } else if (result instanceof StatementResult.Conflict conflict) {
      terminal.errors().println(origin + "conflict: " + conflict.message());
    } else if (result instanceof StatementResult.Problem problem) {
      terminal.errors().println(origin + problem.message());
    }
  }

  /** Prints at once what is known when a change is accepted; the key may not be lost any more. */
  void printAccepted(StatementResult.Accepted accepted) {
    if (format == OutputFormat.JSON) {
      return;
    }
    if (accepted.offset() != StatementResult.NO_OFFSET) {
      terminal.output().println("accepted at offset " + accepted.offset());
    }
    terminal.output().println(accepted.note());
    if (!accepted.secret().isEmpty()) {
      terminal.output().println("key, shown this once: " + accepted.secret());
    }
    terminal.output().flush();
  }

  /** Prints how far an accepted change has come in the end. */
  void printProgress(StatementResult.Accepted accepted) {
    if (format == OutputFormat.JSON) {
      terminal.output().println(codec.encode(accepted));
    } else if (accepted.offset() == StatementResult.NO_OFFSET) {
      terminal.output().flush();
    } else if (accepted.inForce()) {
      terminal.output().println("in force everywhere");
    } else {
      String behind =
          accepted.behind().isEmpty() ? "unknown" : String.join(", ", accepted.behind());
      terminal.output().println("not yet in force, behind: " + behind);
    }
  }

  void printError(String message, String origin) {
    terminal.errors().println(origin + message);
  }

  /** Prints a wrong statement with a caret below the place of the error. */
  void printSyntaxError(String text, int column, String message, String origin) {
    if (format == OutputFormat.JSON) {
      terminal.output().println(codec.encode(new StatementResult.Problem(message, column)));
      return;
    }
    terminal.errors().println(origin + message);
    terminal.errors().println("  " + text);
    terminal.errors().println("  " + indent(text, column) + "^");
  }

  private static String indent(String text, int column) {
    StringBuilder indent = new StringBuilder();
    text.codePoints()
        .limit(column - 1L)
        .forEach(character -> indent.append(character == '\t' ? '\t' : ' '));
    return indent.toString();
  }
}
