package org.hickorypier.cli.trace;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * {@code bin/trace --id ID FILE...}: the life of one submission from the logs of several instances.
 *
 * <p>Exit codes: 0 if it was found, 1 if no line tells of it, 2 if a flag or a file cannot be used.
 */
public final class TraceMain {

  private static final int FOUND = 0;
  private static final int NOT_FOUND = 1;
  private static final int CANNOT_USE = 2;
  private static final String USUAL_GAP = "1000";

  private TraceMain() {}

  /**
   * Runs the command.
   *
   * @param arguments the flags and files
   */
  public static void main(String[] arguments) {
    System.exit(run(arguments, System.out, System.err));
  }

  static int run(String[] arguments, PrintStream out, PrintStream errors) {
    Options options =
        new Options()
            .addOption(Option.builder().longOpt("id").hasArg().required().desc("submission").get())
            .addOption(Option.builder().longOpt("gap").hasArg().desc("milliseconds").get());
    try {
      CommandLine line = new DefaultParser().parse(options, arguments);
      long gap = gap(line.getOptionValue("gap", USUAL_GAP));
      if (line.getArgList().isEmpty()) {
        throw new ParseException("no log file is named");
      }
      List<TraceLine> lines = read(line.getArgList());
      List<String> told = Trace.tell(lines, line.getOptionValue("id"), gap);
      told.forEach(out::println);
      if (told.isEmpty()) {
        errors.println("trace: no line tells of " + line.getOptionValue("id"));
      }
      return told.isEmpty() ? NOT_FOUND : FOUND;
    } catch (ParseException | IOException error) {
      errors.println("trace: " + error.getMessage());
      errors.println("usage: bin/trace --id ID [--gap MILLISECONDS] FILE...");
      return CANNOT_USE;
    }
  }

  private static long gap(String text) throws ParseException {
    try {
      long gap = Long.parseLong(text);
      if (gap > 0) {
        return gap;
      }
    } catch (NumberFormatException error) {
      throw new ParseException("--gap is " + text + ", wanted are milliseconds from 1");
    }
    throw new ParseException("--gap is " + text + ", wanted are milliseconds from 1");
  }

  private static List<TraceLine> read(List<String> files) throws IOException {
    List<TraceLine> lines = new ArrayList<>();
    for (String file : files) {
      try (Stream<String> texts = Files.lines(Path.of(file))) {
        texts.forEach(text -> TraceLine.parse(text).ifPresent(lines::add));
      } catch (java.io.UncheckedIOException error) {
        if (error.getCause() instanceof MalformedInputException) {
          throw new IOException(file + " is no UTF-8 text", error);
        }
        throw error.getCause();
      }
    }
    return lines;
  }
}
