package org.hickorypier.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.hickorypier.cli.client.ServerAddress;

/** Reads the command line of hickory. Stateless. */
final class InvocationReader {

  static final String DEFAULT_SERVER = "127.0.0.1:8470";
  static final String KEY_VARIABLE = "HICKORY_OPERATOR_KEY";
  static final String SERVER_VARIABLE = "HICKORY_SERVER";

  private static final Pattern SERVER =
      Pattern.compile("(?:\\[([0-9A-Fa-f:.]+)]|([A-Za-z0-9._-]+)):(\\d{1,5})");
  private static final Pattern CHANGE_ID = Pattern.compile("[A-Za-z0-9-]{1,64}");
  private static final Pattern KEY = Pattern.compile("[A-Za-z0-9_-]+\\.[A-Za-z0-9_-]+");
  private static final int LARGEST_PORT = 65_535;

  private static final Options OPTIONS =
      new Options()
          .addOption(Option.builder().longOpt("server").hasArg().get())
          .addOption(Option.builder().longOpt("key").hasArg().get())
          .addOption(Option.builder().longOpt("output").hasArg().get())
          .addOption(Option.builder().longOpt("change-id").hasArg().get())
          .addOption(Option.builder().longOpt("wait").get())
          .addOption(Option.builder().longOpt("keep-going").get())
          .addOption(Option.builder().longOpt("watch").get())
          .addOption(Option.builder().longOpt("help").get());

  /** Returns all flags with their dashes, for completion. */
  static String flags() {
    return OPTIONS.getOptions().stream()
        .map(option -> "--" + option.getLongOpt())
        .collect(Collectors.joining(" "));
  }

  Invocation read(List<String> arguments, Map<String, String> environment) throws UsageException {
    CommandLine line = parse(arguments);
    String servers =
        line.getOptionValue("server", environment.getOrDefault(SERVER_VARIABLE, DEFAULT_SERVER));
    return new Invocation(
        parseServers(servers),
        parseKey(line.getOptionValue("key", environment.getOrDefault(KEY_VARIABLE, ""))),
        parseFormat(line.getOptionValue("output", "table")),
        line.hasOption("wait"),
        line.hasOption("keep-going"),
        line.hasOption("watch"),
        parseChangeId(line.getOptionValue("change-id")),
        line.hasOption("help") ? List.of("help") : line.getArgList());
  }

  private static CommandLine parse(List<String> arguments) throws UsageException {
    try {
      DefaultParser parser = DefaultParser.builder().setAllowPartialMatching(false).get();
      CommandLine line = parser.parse(OPTIONS, arguments.toArray(String[]::new), true);
      if (!line.getArgList().isEmpty() && line.getArgList().get(0).startsWith("-")) {
        throw new UsageException("unknown flag " + line.getArgList().get(0));
      }
      return line;
    } catch (ParseException error) {
      throw new UsageException(error.getMessage());
    }
  }

  private static List<ServerAddress> parseServers(String text) throws UsageException {
    List<ServerAddress> servers = new ArrayList<>();
    for (String part : text.split(",", -1)) {
      Matcher matcher = SERVER.matcher(part.strip());
      int port = matcher.matches() ? Integer.parseInt(matcher.group(3)) : 0;
      if (port < 1 || port > LARGEST_PORT) {
        throw new UsageException("--server: '" + part + "' is not host:port");
      }
      String host = matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
      servers.add(new ServerAddress(host, port));
    }
    return servers;
  }

  private static String parseKey(String text) throws UsageException {
    if (!text.isEmpty() && !KEY.matcher(text).matches()) {
      throw new UsageException("the key is not of the form keyId.secret");
    }
    return text;
  }

  private static OutputFormat parseFormat(String text) throws UsageException {
    return switch (text) {
      case "table" -> OutputFormat.TABLE;
      case "json" -> OutputFormat.JSON;
      default -> throw new UsageException("--output: '" + text + "' is not one of table, json");
    };
  }

  private static Optional<String> parseChangeId(String text) throws UsageException {
    if (text != null && !CHANGE_ID.matcher(text).matches()) {
      throw new UsageException("--change-id: not 1 to 64 letters, digits and -");
    }
    return Optional.ofNullable(text);
  }
}
