package org.hickorypier.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.Options;
import org.hickorypier.core.model.WorkClass;

/**
 * Measures the waits by class from below to far above the capacity.
 *
 * <p>Holds no state, so safe to use from any thread.
 */
final class WaitingCommand implements MeasureCommand {

  private static final double[] LOADS = {0.7, 0.9, 1.0, 1.2, 2.0};
  private static final double LOW = 0.7;
  private static final double FULL = 1.0;
  private static final double HIGH = 2.0;
  private static final double AIM_URGENT_RATIO = 2;
  private static final double AIM_GOODPUT_RATIO = 0.97;

  private record Run(WaitingLoad.Seen seen, double goodput) {}

  @Override
  public String name() {
    return "waiting";
  }

  @Override
  public String description() {
    return "waits by class at 0.7 to 2 times the capacity, beside no admission control";
  }

  @Override
  public Options options() {
    Options options = new Options();
    options.addOption(null, "workers", true, "number of workers");
    options.addOption(null, "seconds", true, "seconds of fake time for each load and seed");
    options.addOption(null, "seeds", true, "how many seeds");
    return options;
  }

  @Override
  public void run(Arguments arguments, Report report)
      throws BadArgumentException, MeasureException {
    int workers = arguments.number("workers", 30, 1, 5_000);
    int seconds = arguments.number("seconds", 120, 5, 3_600);
    int seeds = arguments.number("seeds", 5, 1, 100);
    Map<Double, List<Run>> byLoad = new HashMap<>();
    for (boolean plain : new boolean[] {false, true}) {
      for (double load : LOADS) {
        List<Run> runs = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
          WaitingLoad waitingLoad = new WaitingLoad(workers, load, seconds, seed, plain);
          WaitingLoad.Seen seen = waitingLoad.run();
          runs.add(new Run(seen, waitingLoad.goodput()));
        }
        addRuns((plain ? "waiting.plain." : "waiting.") + load + ".", runs, report);
        if (!plain) {
          byLoad.put(load, runs);
          Histogram urgent = waits(runs, WorkClass.URGENT);
          report.plot("waiting-urgent-" + load + ".hgrm", DecisionsCommand.percentiles(urgent));
        }
      }
    }
    aims(byLoad, report);
  }

  private static void addRuns(String prefix, List<Run> runs, Report report) {
    for (WorkClass workClass : WorkClass.values()) {
      Histogram waits = waits(runs, workClass);
      String key = prefix + workClass.name().toLowerCase(java.util.Locale.ROOT) + ".";
      report.add(key + "p50", millis(waits, 50), "ms");
      report.add(
          key + "p99",
          Spread.of(runs.stream().mapToDouble(run -> millis(run.seen().waits.get(workClass), 99))),
          "ms");
      report.add(key + "p99.9", millis(waits, 99.9), "ms");
    }
    report.add(prefix + "goodput", Spread.of(runs.stream().mapToDouble(Run::goodput)), "-");
    report.add(
        prefix + "refused",
        Spread.of(runs.stream().mapToDouble(r -> (double) r.seen().refused / r.seen().offered)),
        "-");
    report.add(
        prefix + "late", Spread.of(runs.stream().mapToDouble(r -> r.seen().lateRequests)), "items");
  }

  private static void aims(Map<Double, List<Run>> byLoad, Report report) {
    double low = millis(waits(byLoad.get(LOW), WorkClass.URGENT), 99);
    double high = millis(waits(byLoad.get(HIGH), WorkClass.URGENT), 99);
    report.add("waiting.urgent.p99.low", low, "ms");
    report.add("waiting.urgent.p99.high", high, "ms");
    report.aim("waiting.urgent", high <= AIM_URGENT_RATIO * low);
    long late =
        byLoad.values().stream().flatMap(List::stream).mapToLong(r -> r.seen().lateRequests).sum();
    report.aim("waiting.deadlines", late == 0);
    double full = byLoad.get(FULL).stream().mapToDouble(Run::goodput).average().orElseThrow();
    double over = byLoad.get(HIGH).stream().mapToDouble(Run::goodput).average().orElseThrow();
    report.add("waiting.goodput.ratio", over / full, "-");
    report.aim("waiting.goodput", over / full >= AIM_GOODPUT_RATIO);
  }

  private static Histogram waits(List<Run> runs, WorkClass workClass) {
    Histogram all = new Histogram(3);
    runs.forEach(run -> all.add(run.seen().waits.get(workClass)));
    return all;
  }

  private static double millis(Histogram ticks, double percentile) {
    return (double) ticks.getValueAtPercentile(percentile) / WaitingLoad.TICKS_PER_MILLI;
  }
}
