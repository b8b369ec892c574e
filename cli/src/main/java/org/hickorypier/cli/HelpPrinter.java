package org.hickorypier.cli;

import java.util.List;
import java.util.Optional;
import org.hickorypier.language.StatementHelp;

/** Prints help. Not thread safe, as its terminal is not. */
final class HelpPrinter {

  static final String VERB = "help";

  private static final String HEAD =
      """
      usage: hickory [flags] [statement]
             hickory help [statement]
             hickory completion

      Without a statement, hickory reads a script from standard input, one statement a line,
      or gives a prompt at a terminal. # starts a comment. Names with other characters than
      letters, digits and _ - . : @ + ~ stand in quotes. source <(hickory completion) teaches
      bash to complete statements.

      flags:
        --server HOST:PORT,...  the instances, tried in this order; or HICKORY_SERVER;
                                default 127.0.0.1:8470
        --key KEY               the operator's key; better HICKORY_OPERATOR_KEY, as other users
                                of the machine can read flags
        --output table|json     how results are printed; default table
        --wait                  waits up to 30 s until a change is in force everywhere
        --keep-going            goes on after an error in a script
        --change-id ID          repeats a change whose answer was lost, under its first id
        --watch                 repeats a query every 2 s until it is broken off
        --help                  prints this text

      statements:
      """;

  private final Terminal terminal;

  HelpPrinter(Terminal terminal) {
    this.terminal = terminal;
  }

  ExitCode print(List<String> words) {
    if (words.isEmpty()) {
      printAll();
      return ExitCode.DONE;
    }
    Optional<StatementHelp> help = StatementHelp.of(words.get(0));
    if (help.isEmpty()) {
      terminal.errors().println("hickory: no statement '" + words.get(0) + "'; see hickory help");
      return ExitCode.USAGE;
    }
    terminal.output().println(help.get().usage());
    terminal.output().println();
    terminal.output().println(help.get().description());
    terminal.output().println();
    terminal.output().println("example: " + help.get().example());
    return ExitCode.DONE;
  }

  private void printAll() {
    terminal.output().print(HEAD);
    for (StatementHelp help : StatementHelp.values()) {
      terminal.output().println("  " + help.usage());
    }
    terminal.output().println();
    terminal.output().println("exit codes:");
    for (ExitCode code : ExitCode.values()) {
      terminal.output().println("  " + code.code() + "  " + code.meaning());
    }
  }
}
