package org.hickorypier.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs a script, one statement a line.
 *
 * <p>The whole script is checked first: an error of syntax in its last line would otherwise leave
 * the lines before it carried out and the operator to find out which. Not thread safe.
 */
final class ScriptRunner {

  private static final int MOST_LINES = 10_000;

  private final StatementRunner runner;
  private final ResultPrinter printer;
  private final boolean keepGoing;

  ScriptRunner(StatementRunner runner, ResultPrinter printer, boolean keepGoing) {
    this.runner = runner;
    this.printer = printer;
    this.keepGoing = keepGoing;
  }

  ExitCode run(BufferedReader input) throws IOException, InterruptedException {
    List<Line> lines = read(input);
    if (lines.size() > MOST_LINES) {
      printer.printError("a script has at most " + MOST_LINES + " statements", "hickory: ");
      return ExitCode.USAGE;
    }
    boolean wellFormed = true;
    for (Line line : lines) {
      wellFormed &= keepGoing || runner.parse(line.text(), line.origin()).isPresent();
    }
    return wellFormed ? runLines(lines) : ExitCode.USAGE;
  }

  private ExitCode runLines(List<Line> lines) throws InterruptedException {
    ExitCode worst = ExitCode.DONE;
    for (Line line : lines) {
      ExitCode code = runner.run(line.text(), line.origin());
      if (code.isError() && !keepGoing) {
        printer.printError("stopped", line.origin());
        return code;
      }
      worst = worse(worst, code);
    }
    return worst;
  }

  /** The first error stands; a change not yet in force counts only if there is no error. */
  private static ExitCode worse(ExitCode before, ExitCode code) {
    return before.isError() || code == ExitCode.DONE ? before : code;
  }

  private static List<Line> read(BufferedReader input) throws IOException {
    List<Line> lines = new ArrayList<>();
    int number = 0;
    String text = input.readLine();
    while (text != null && lines.size() <= MOST_LINES) {
      number++;
      if (!text.isBlank() && !text.strip().startsWith("#")) {
        lines.add(new Line(number, text));
      }
      text = input.readLine();
    }
    return lines;
  }

  private record Line(int number, String text) {

    String origin() {
      return "hickory: line " + number + ": ";
    }
  }
}
