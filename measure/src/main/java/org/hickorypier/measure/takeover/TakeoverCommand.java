package org.hickorypier.measure.takeover;

import org.apache.commons.cli.Options;
import org.hickorypier.measure.Arguments;
import org.hickorypier.measure.BadArgumentException;
import org.hickorypier.measure.MeasureCommand;
import org.hickorypier.measure.MeasureException;
import org.hickorypier.measure.Report;
import org.hickorypier.measure.fleet.FleetException;

/**
 * {@code bin/measure takeover}.
 *
 * <p>Holds no state, so safe to use from any thread.
 */
public final class TakeoverCommand implements MeasureCommand {

  private static final String ENTRIES = "entries";
  private static final String WORKERS = "workers";
  private static final String RATE = "rate";
  private static final String ROUNDS = "rounds";
  private static final String LIMIT = "limit";
  private static final String SEED = "seed";
  private static final String LOGS = "logs";
  private static final long LEASE_MILLIS = 5_000;
  private static final String COUNT = "-";
  private static final String MILLIS = "ms";

  @Override
  public String name() {
    return "takeover";
  }

  @Override
  public String description() {
    return "kills and pauses instances under load, over separate processes";
  }

  @Override
  public Options options() {
    Options options = new Options();
    options.addOption(null, ENTRIES, true, "daemons, 2 to 16 (4)");
    options.addOption(null, WORKERS, true, "workers, 1 to 300 (30)");
    options.addOption(null, RATE, true, "requests a second, 1 to 500 (100)");
    options.addOption(null, ROUNDS, true, "kills, and as many pauses, 1 to 50 (2)");
    options.addOption(null, LIMIT, true, "upper limit of each of three teams, 1 to 2400 (8)");
    options.addOption(null, SEED, true, "whom is done what, 0 to 1000000 (7)");
    options.addOption(null, LOGS, true, "directory for the daemons' logs (none)");
    return options;
  }

  @Override
  public void run(Arguments arguments, Report report)
      throws BadArgumentException, MeasureException {
    TakeoverSettings settings =
        new TakeoverSettings(
            arguments.number(ENTRIES, 4, 2, 16),
            arguments.number(WORKERS, 30, 1, 300),
            arguments.number(RATE, 100, 1, 500),
            arguments.number(ROUNDS, 2, 1, 50),
            arguments.number(LIMIT, 8, 1, 2_400),
            arguments.number(SEED, 7, 0, 1_000_000),
            LEASE_MILLIS,
            arguments.directory(LOGS));
    TakeoverFigures figures;
    try {
      figures = new TakeoverRun(settings).run();
    } catch (FleetException error) {
      throw new MeasureException(error.getMessage(), error);
    }
    report(figures, report);
    // Figures go to standard output; what to look for goes beside them.
    figures.examples().forEach(System.err::println);
  }

  private static void report(TakeoverFigures figures, Report report) {
    report.add("requests", figures.requests(), COUNT);
    report.add("answered", figures.answered(), COUNT);
    report.add("not_run", figures.notRun(), COUNT);
    report.add("unknown", figures.unknown(), COUNT);
    report.add("kills", figures.kills(), COUNT);
    report.add("pauses", figures.pauses(), COUNT);
    report.add("lost", figures.lost(), COUNT);
    report.add("wrong", figures.wrong(), COUNT);
    report.add("doubled", figures.doubled(), COUNT);
    report.add("untrue_not_run", figures.untrueNotRun(), COUNT);
    report.add("over_limit", figures.overLimit(), COUNT);
    report.add("over_capacity", figures.overCapacity(), COUNT);
    report.add("longest_without_service", figures.longestWithoutServiceMillis(), MILLIS);
    report.add("slowest_answer", figures.slowestAnswerMillis(), MILLIS);
    report.aim("all_kept", figures.allKept());
  }
}
