package org.hickorypier.standins.main;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The flags of a stand-in's command line.
 *
 * <p>Not thread safe; used by one thread at start.
 */
final class Flags {

  private final Options options = new Options();
  private CommandLine line;

  Flags flag(String name, String argument, String description) {
    options.addOption(
        Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get());
    return this;
  }

  Flags repeated(String name, String argument, String description) {
    options.addOption(
        Option.builder().longOpt(name).hasArgs().argName(argument).desc(description).get());
    return this;
  }

  Flags toggle(String name, String description) {
    options.addOption(Option.builder().longOpt(name).desc(description).get());
    return this;
  }

  Flags parse(String[] arguments) throws ParseException {
    line = new DefaultParser().parse(options, arguments);
    return this;
  }

  String text(String name, String otherwise) {
    return line.getOptionValue(name, otherwise);
  }

  String[] texts(String name) {
    String[] values = line.getOptionValues(name);
    return values == null ? new String[0] : values;
  }

  String required(String name) throws ParseException {
    if (!line.hasOption(name)) {
      throw new ParseException("--" + name + " is missing");
    }
    return line.getOptionValue(name);
  }

  boolean has(String name) {
    return line.hasOption(name);
  }

  String[] rest() {
    return line.getArgs();
  }

  int number(String name, int otherwise) throws ParseException {
    String text = line.getOptionValue(name);
    if (text == null) {
      return otherwise;
    }
    try {
      int value = Integer.parseInt(text);
      if (value < 0) {
        throw new ParseException("--" + name + ": " + text + " is negative");
      }
      return value;
    } catch (NumberFormatException error) {
      throw new ParseException("--" + name + ": " + text + " is not a whole number");
    }
  }
}
