package org.hickorypier.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The entry of {@code bin/measure}.
 *
 * <p>Holds no state, so safe to use from any thread.
 */
public final class Measure {

  /** The measurement was made, whether its aims were met or missed. */
  static final int EXIT_MEASURED = 0;

  /** The measurement failed. */
  static final int EXIT_FAILED = 1;

  /** The arguments are wrong. */
  static final int EXIT_BAD_ARGUMENTS = 2;

  private Measure() {}

  /**
   * Runs one sub-command.
   *
   * @param arguments the sub-command and its options
   */
  public static void main(String[] arguments) {
    System.exit(run(arguments, System.out, System.err));
  }

  static int run(String[] arguments, PrintStream out, PrintStream err) {
    Optional<MeasureCommand> command =
        arguments.length == 0 ? Optional.empty() : CommandRegistry.find(arguments[0]);
    if (command.isEmpty()) {
      return help(arguments, out, err);
    }
    try {
      Options options = command.get().options();
      options.addOption(null, "json", false, "print JSON");
      options.addOption(null, "report", true, "directory for histograms and charts");
      String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
      CommandLine line = new DefaultParser().parse(options, rest);
      if (!line.getArgList().isEmpty()) {
        throw new BadArgumentException(
            "'" + line.getArgList().get(0) + "' is not an option; allowed are " + names(options));
      }
      String directory = line.getOptionValue("report");
      Report report = new Report(directory == null ? null : Path.of(directory));
      command.get().run(new Arguments(line), report);
      print(report, line.hasOption("json"), out);
      return EXIT_MEASURED;
    } catch (ParseException | BadArgumentException e) {
      err.println("measure: " + e.getMessage());
      return EXIT_BAD_ARGUMENTS;
    } catch (MeasureException | JsonProcessingException e) {
      err.println("measure: " + e.getMessage());
      return EXIT_FAILED;
    }
  }

  private static void print(Report report, boolean json, PrintStream out)
      throws JsonProcessingException {
    if (json) {
      out.println(new ObjectMapper().writeValueAsString(report.figures()));
      return;
    }
    for (Figure figure : report.figures()) {
      out.println(figure.key() + " " + figure.value() + " " + figure.unit());
    }
  }

  private static int help(String[] arguments, PrintStream out, PrintStream err) {
    boolean asked = arguments.length > 0 && arguments[0].equals("--help");
    PrintStream target = asked ? out : err;
    if (!asked && arguments.length > 0) {
      target.println("measure: '" + arguments[0] + "' is not a command");
    }
    target.println("usage: bin/measure COMMAND [options] [--json] [--report DIR]");
    for (MeasureCommand command : CommandRegistry.all()) {
      target.println("  " + command.name() + "  " + command.description());
      command
          .options()
          .getOptions()
          .forEach(o -> target.println("    --" + o.getLongOpt() + "  " + o.getDescription()));
    }
    target.println("exit codes: 0 measured, 1 the measurement failed, 2 wrong arguments");
    return asked ? EXIT_MEASURED : EXIT_BAD_ARGUMENTS;
  }

  private static String names(Options options) {
    return String.join(
        ", ", options.getOptions().stream().map(o -> "--" + o.getLongOpt()).toList());
  }
}
