package org.hickorypier.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/**
 * The options of a call, checked against their ranges.
 *
 * <p>Immutable.
 */
public final class Arguments {

  private final CommandLine commandLine;

  /**
   * Wraps a command line.
   *
   * @param commandLine the parsed options
   */
  public Arguments(CommandLine commandLine) {
    this.commandLine = commandLine;
  }

  /**
   * Returns a whole number.
   *
   * @param option the long name of the option
   * @param fallback the value if the option is not given
   * @param least the least allowed value
   * @param most the largest allowed value
   * @return the number
   * @throws BadArgumentException if the value is no number or not allowed
   */
  public int number(String option, int fallback, int least, int most) throws BadArgumentException {
    String text = commandLine.getOptionValue(option);
    return text == null ? fallback : parse(option, text, least, most);
  }

  /**
   * Returns whole numbers separated by commas.
   *
   * @param option the long name of the option
   * @param fallback the values if the option is not given
   * @param least the least allowed value
   * @param most the largest allowed value
   * @return the numbers
   * @throws BadArgumentException if a value is no number or not allowed
   */
  public List<Integer> numbers(String option, List<Integer> fallback, int least, int most)
      throws BadArgumentException {
    String text = commandLine.getOptionValue(option);
    if (text == null) {
      return fallback;
    }
    List<Integer> numbers = new ArrayList<>();
    for (String part : text.split(",", -1)) {
      numbers.add(parse(option, part, least, most));
    }
    return numbers;
  }

  /**
   * Returns a directory, which is made if it is missing.
   *
   * @param option the long name of the option
   * @return the directory, or empty if the option is not given
   * @throws BadArgumentException if it cannot be made
   */
  public Optional<Path> directory(String option) throws BadArgumentException {
    String text = commandLine.getOptionValue(option);
    if (text == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(Files.createDirectories(Path.of(text)));
    } catch (IOException error) {
      throw new BadArgumentException("--" + option + " cannot be made: " + text);
    }
  }

  private static int parse(String option, String text, int least, int most)
      throws BadArgumentException {
    String range = "--" + option + " is '" + text + "', allowed is " + least + " to " + most;
    try {
      int value = Integer.parseInt(text.strip());
      if (value < least || value > most) {
        throw new BadArgumentException(range);
      }
      return value;
    } catch (NumberFormatException e) {
      throw new BadArgumentException(range);
    }
  }
}
