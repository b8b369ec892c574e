package org.hickorypier.measure.soak;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Runs randomized soaks and prints what they broke.
 *
 * <p>Exit codes: 0 nothing was broken, 1 something was, 2 wrong arguments, 3 a soak could not be
 * set up.
 */
public final class Soak {

  private static final int BROKEN = 1;
  private static final int WRONG_ARGUMENTS = 2;
  private static final int NOT_SET_UP = 3;
  private static final int MOST_INSTANCES = 40;
  private static final int MOST_WORKERS = 400;

  private static final Map<String, Function<Path, SoakSettings>> KINDS =
      Map.of(
          "release", SoakSettings::release,
          "crashing", SoakSettings::crashing,
          "restarting", SoakSettings::restarting,
          "large", SoakSettings::large);

  private Soak() {}

  /**
   * Runs the soaks.
   *
   * @param arguments the flags
   */
  public static void main(String[] arguments) {
    int code;
    try {
      code = run(new DefaultParser().parse(options(), arguments));
    } catch (ParseException error) {
      System.err.println("soak: " + error.getMessage());
      code = WRONG_ARGUMENTS;
    } catch (SoakException error) {
      System.err.println("soak: " + error.getMessage());
      code = NOT_SET_UP;
    }
    System.exit(code);
  }

  private static Options options() {
    return new Options()
        .addOption(flag("seeds", "how many seeds; default 50"))
        .addOption(flag("from", "the first seed; default 1"))
        .addOption(flag("minutes", "begin no further seed after so many minutes; default 60"))
        .addOption(flag("together", "seeds played at once, 1 to 8; default 2"))
        .addOption(flag("instances", "instances a seed, 1 to 40; default 3"))
        .addOption(flag("workers", "workers a seed, 1 to 400; default 6"))
        .addOption(flag("disturbances", "disturbances a seed, 0 to 100; default 9"))
        .addOption(
            Option.builder()
                .longOpt("release")
                .desc("replace workers and restart instances in turn; 4 instances, 8 workers")
                .get())
        .addOption(
            Option.builder()
                .longOpt("crashing")
                .desc("tasks that crash their workers, and capacities that change; 8 workers")
                .get())
        .addOption(
            Option.builder()
                .longOpt("restarting")
                .desc("workers start again and are cut off soon after, below long tasks; 9 workers")
                .get())
        .addOption(
            Option.builder()
                .longOpt("large")
                .desc("submissions of many tasks, of many steps and due later, a failing service")
                .get())
        .addOption(flag("reports", "folder for the logs of seeds with a breach"));
  }

  private static Option flag(String name, String description) {
    return Option.builder().longOpt(name).hasArg().desc(description).get();
  }

  private static int run(CommandLine line) throws ParseException, SoakException {
    final long seeds = number(line, "seeds", 50, 1, 100_000);
    final long from = number(line, "from", 1, 0, Integer.MAX_VALUE);
    final long minutes = number(line, "minutes", 60, 1, 1_000);
    final int together = (int) number(line, "together", 2, 1, 8);
    Path reports = Path.of(line.getOptionValue("reports", "target/soak"));
    SoakSettings usual = kind(line).apply(reports);
    SoakSettings settings =
        new SoakSettings(
            (int) number(line, "instances", usual.instances(), 1, MOST_INSTANCES),
            (int) number(line, "workers", usual.workers(), 1, MOST_WORKERS),
            (int) number(line, "disturbances", usual.disturbances(), 0, 100),
            usual.handInSpreadMillis(),
            usual.loadMillis(),
            usual.calmMillis(),
            usual.release(),
            usual.crashing(),
            usual.restarting(),
            usual.large(),
            usual.reports());
    long end = System.nanoTime() + TimeUnit.MINUTES.toNanos(minutes);
    List<Callable<Boolean>> plays = new ArrayList<>();
    for (long seed = from; seed < from + seeds; seed++) {
      long next = seed;
      plays.add(() -> System.nanoTime() > end || played(next, settings));
    }
    return playAll(plays, together) ? 0 : BROKEN;
  }

  private static Function<Path, SoakSettings> kind(CommandLine line) throws ParseException {
    List<String> named = KINDS.keySet().stream().filter(line::hasOption).sorted().toList();
    if (named.size() > 1) {
      throw new ParseException("--" + String.join(", --", named) + ": wanted is one of these");
    }
    return named.isEmpty() ? SoakSettings::usual : KINDS.get(named.get(0));
  }

  private static long number(CommandLine line, String name, long otherwise, long least, long most)
      throws ParseException {
    String text = line.getOptionValue(name);
    if (text == null) {
      return otherwise;
    }
    try {
      long number = Long.parseLong(text);
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException error) {
      // Told below with the allowed range.
    }
    throw new ParseException(
        "--" + name + " is " + text + ", wanted is a number from " + least + " to " + most);
  }

  private static boolean played(long seed, SoakSettings settings) throws SoakException {
    SoakResult result = new SoakRun(seed, settings).play();
    System.out.println(
        "seed "
            + seed
            + ": "
            + result.summary()
            + ", "
            + result.disturbances().size()
            + " disturbances, "
            + result.broken().size()
            + " broken");
    result.broken().forEach(broken -> System.out.println("  " + broken));
    return result.broken().isEmpty();
  }

  private static boolean playAll(List<Callable<Boolean>> plays, int together) throws SoakException {
    ExecutorService pool = Executors.newFixedThreadPool(together);
    try {
      boolean clean = true;
      for (Future<Boolean> played : pool.invokeAll(plays)) {
        clean &= played.get();
      }
      return clean;
    } catch (ExecutionException error) {
      throw new SoakException(String.valueOf(error.getCause().getMessage()), error);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
      throw new SoakException("interrupted", error);
    } finally {
      pool.shutdownNow();
    }
  }
}
