package org.hickorypier.measure.start;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.cli.Options;
import org.hickorypier.measure.Arguments;
import org.hickorypier.measure.BadArgumentException;
import org.hickorypier.measure.MeasureCommand;
import org.hickorypier.measure.MeasureException;
import org.hickorypier.measure.Report;
import org.hickorypier.measure.Spread;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.rehearsal.RehearsalPlatform;

/**
 * {@code bin/measure start}: starts two instances of the program, one after another, with the run
 * line of deploy/system.toml; the first owns the cell.
 *
 * <p>Holds no state, so safe to use from any thread.
 */
public final class StartCommand implements MeasureCommand {

  private static final String RUNS = "runs";
  private static final String IDLE = "idle";

  /** The working directory of the run line: the root of the source tree. */
  static final Path ROOT = Path.of(System.getProperty("hickorypier.root", "."));

  private static final Path DEPLOYMENT = ROOT.resolve(Path.of("deploy", "system.toml"));
  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"([^\"]*)\"$");

  @Override
  public String name() {
    return "start";
  }

  @Override
  public String description() {
    return "processor time and memory of a start and of an idle instance, as deployed";
  }

  @Override
  public Options options() {
    Options options = new Options();
    options.addOption(null, RUNS, true, "repetitions, 1 to 100 (5)");
    options.addOption(null, IDLE, true, "seconds of an idle instance to observe, 1 to 600 (5)");
    return options;
  }

  @Override
  public void run(Arguments arguments, Report report)
      throws BadArgumentException, MeasureException {
    int runs = arguments.number(RUNS, 5, 1, 100);
    int idleSeconds = arguments.number(IDLE, 5, 1, 600);
    Map<String, List<Double>> values = new TreeMap<>();
    try {
      String runLine = runLine(Files.readString(DEPLOYMENT));
      for (int run = 0; run < runs; run++) {
        measure(runLine, idleSeconds, values);
      }
    } catch (IOException | ExecutionException error) {
      throw new MeasureException("no start: " + error.getMessage(), error);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
      throw new MeasureException("interrupted", error);
    }
    values.forEach(
        (key, list) ->
            report.add(
                key,
                Spread.of(list.stream().mapToDouble(Double::doubleValue)),
                key.contains("memory") ? "MB" : key.endsWith("wake_ups") ? "1/s" : "ms"));
  }

  private static void measure(String runLine, int idleSeconds, Map<String, List<Double>> values)
      throws IOException, InterruptedException, ExecutionException {
    Vertx vertx = Vertx.vertx();
    try {
      ServiceAddress platform =
          new RehearsalPlatform(vertx).listen().toCompletionStage().toCompletableFuture().get();
      try (MeasuredInstance owner = new MeasuredInstance("owner", runLine, platform)) {
        owner.measureStart();
        try (MeasuredInstance other = new MeasuredInstance("other", runLine, platform)) {
          other.measureStart();
          MeasuredInstance.measureIdle(List.of(owner, other), idleSeconds);
          other.addTo(values);
        }
        owner.addTo(values);
      }
    } finally {
      vertx.close();
    }
  }

  /**
   * Returns the command line of the program.
   *
   * @param deployment the text of the deployment file
   */
  static String runLine(String deployment) throws IOException {
    Matcher matcher = RUN_LINE.matcher(deployment);
    if (!matcher.find()) {
      throw new IOException(DEPLOYMENT + " has no run line");
    }
    return matcher.group(1);
  }

  /** Splits a run line and names another settings file in it. */
  static List<String> command(String runLine, Path settings) {
    List<String> command = new ArrayList<>();
    for (String word : runLine.split(" ")) {
      command.add(word.startsWith("--settings=") ? "--settings=" + settings : word);
    }
    return command;
  }
}
