package org.hickorypier.measure;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.Options;

/**
 * Measures the speed of decisions by the number of workers.
 *
 * <p>A decision is what one start costs: the submission, the end that frees the room, and the
 * placement, timed together. Holds no state, so safe to use from any thread.
 */
final class DecisionsCommand implements MeasureCommand {

  private static final List<Integer> DEFAULT_WORKERS = List.of(30, 300, 4_200);
  private static final double AIM_PER_SECOND = 20_000;
  private static final double AIM_P99_MICROS = 500;
  private static final double AIM_SLOPE = 3;
  private static final double NANOS_PER_MICRO = 1_000;

  @Override
  public String name() {
    return "decisions";
  }

  @Override
  public String description() {
    return "speed of decisions by number of workers, beside first come first served, first fit";
  }

  @Override
  public Options options() {
    Options options = new Options();
    options.addOption(null, "workers", true, "numbers of workers, separated by commas");
    options.addOption(null, "decisions", true, "decisions timed for each size and seed");
    options.addOption(null, "seeds", true, "how many seeds");
    return options;
  }

  @Override
  public void run(Arguments arguments, Report report)
      throws BadArgumentException, MeasureException {
    List<Integer> sizes = arguments.numbers("workers", DEFAULT_WORKERS, 1, 20_000);
    int decisions = arguments.number("decisions", 40_000, 100, 10_000_000);
    int seeds = arguments.number("seeds", 5, 1, 100);
    new DecisionLoad(sizes.get(0), 0, false).run(decisions);
    Map<Integer, Histogram> bySize = new HashMap<>();
    for (int size : sizes) {
      bySize.put(size, measure(size, decisions, seeds, report));
    }
    measurePlain(sizes.get(sizes.size() - 1), decisions / 10, report);
    aims(sizes, bySize, report);
  }

  private static Histogram measure(int workers, int decisions, int seeds, Report report)
      throws MeasureException {
    Histogram all = new Histogram(3);
    List<DecisionLoad.Timing> timings = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      DecisionLoad.Timing timing = new DecisionLoad(workers, seed, false).run(decisions);
      timings.add(timing);
      all.add(timing.nanos());
    }
    String prefix = "decisions." + workers + ".";
    Spread perSecond = Spread.of(timings.stream().mapToDouble(DecisionLoad.Timing::perSecond));
    report.add(prefix + "running", timings.get(0).running(), "tasks");
    report.add(prefix + "rate", perSecond, "decisions/s");
    report.add(prefix + "p50", micros(all, 50), "us");
    report.add(
        prefix + "p99",
        Spread.of(timings.stream().mapToDouble(timing -> micros(timing.nanos(), 99))),
        "us");
    report.add(prefix + "max", all.getMaxValue() / NANOS_PER_MICRO, "us");
    if (workers == 4_200) {
      report.aim("decisions.rate", perSecond.least() >= AIM_PER_SECOND);
      report.aim("decisions.p99", micros(all, 99) < AIM_P99_MICROS);
    }
    report.plot("decisions-" + workers + ".hgrm", percentiles(all));
    return all;
  }

  private static void measurePlain(int workers, int decisions, Report report) {
    DecisionLoad.Timing timing = new DecisionLoad(workers, 1, true).run(Math.max(100, decisions));
    String prefix = "decisions.plain." + workers + ".";
    report.add(prefix + "rate", timing.perSecond(), "decisions/s");
    report.add(prefix + "p50", micros(timing.nanos(), 50), "us");
    report.add(prefix + "p99", micros(timing.nanos(), 99), "us");
  }

  private static void aims(List<Integer> sizes, Map<Integer, Histogram> bySize, Report report) {
    int first = sizes.get(0);
    int last = sizes.get(sizes.size() - 1);
    if (first == last) {
      return;
    }
    double slope = micros(bySize.get(last), 99) / micros(bySize.get(first), 99);
    String ends = first + "-to-" + last;
    report.add("decisions.p99.ratio." + ends, slope, "-");
    report.add(
        "decisions.p50.ratio." + ends,
        micros(bySize.get(last), 50) / micros(bySize.get(first), 50),
        "-");
    report.aim("decisions.slope", slope < AIM_SLOPE);
  }

  private static double micros(Histogram nanos, double percentile) {
    return nanos.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
  }

  static String percentiles(Histogram histogram) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(bytes, false, StandardCharsets.UTF_8);
    histogram.outputPercentileDistribution(stream, NANOS_PER_MICRO);
    stream.flush();
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
