package org.hickorypier.daemon.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The flags of a parsed command line and their values. Immutable. */
final class FlagValues {

  private static final String KNOWN_FLAGS = "only flags that --help lists";

  private final Map<String, List<String>> valuesByName;

  private FlagValues(Map<String, List<String>> valuesByName) {
    this.valuesByName = valuesByName;
  }

  /**
   * Parses a whole command line. The library stops at the first unknown word; parsing restarts
   * after that word, so that one mistake does not hide the others.
   */
  static FlagValues parse(Options options, List<String> arguments, ResolvedSettings problems) {
    Map<String, List<String>> values = new LinkedHashMap<>();
    List<String> remaining = arguments;
    while (!remaining.isEmpty()) {
      try {
        CommandLine line = newParser().parse(options, remaining.toArray(String[]::new), true);
        collect(line, values);
        remaining = line.getArgList();
      } catch (ParseException error) {
        problems.addProblem(remaining.get(0), "", error.getMessage());
        break;
      }
      if (!remaining.isEmpty()) {
        int position = arguments.size() - remaining.size() + 1;
        problems.addProblem(describe(remaining.get(0), position), "", KNOWN_FLAGS);
        remaining = remaining.subList(1, remaining.size());
      }
    }
    return new FlagValues(values);
  }

  boolean has(String name) {
    return valuesByName.containsKey(name);
  }

  List<String> values(String name) {
    return List.copyOf(valuesByName.getOrDefault(name, List.of()));
  }

  private static DefaultParser newParser() {
    return DefaultParser.builder().setAllowPartialMatching(false).get();
  }

  private static void collect(CommandLine line, Map<String, List<String>> values) {
    for (Option option : line.getOptions()) {
      List<String> optionValues =
          values.computeIfAbsent(option.getLongOpt(), name -> new ArrayList<>());
      optionValues.addAll(option.getValuesList());
    }
  }

  // A mistyped flag may carry a secret (--peer-secrt=... or the following word), so a flag is shown
  // without its value and any other word only by its position.
  private static String describe(String word, int position) {
    if (!word.startsWith("--")) {
      return "word " + position;
    }
    int equals = word.indexOf('=');
    return equals < 0 ? word : word.substring(0, equals);
  }
}
