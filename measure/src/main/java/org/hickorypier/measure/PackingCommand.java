package org.hickorypier.measure;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.Options;

/**
 * Measures how full the fleet is when the first task cannot be placed.
 *
 * <p>Holds no state, so safe to use from any thread.
 */
final class PackingCommand implements MeasureCommand {

  private static final double AIM_PART = 0.95;

  @Override
  public String name() {
    return "packing";
  }

  @Override
  public String description() {
    return "used share when the first task cannot be placed, beside first fit";
  }

  @Override
  public Options options() {
    Options options = new Options();
    options.addOption(null, "workers", true, "number of workers");
    options.addOption(null, "seeds", true, "how many seeds");
    return options;
  }

  @Override
  public void run(Arguments arguments, Report report)
      throws BadArgumentException, MeasureException {
    int workers = arguments.number("workers", 300, 1, 20_000);
    int seeds = arguments.number("seeds", 5, 1, 100);
    List<PackingLoad.Packed> ours = new ArrayList<>();
    List<PackingLoad.Packed> plain = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      PackingLoad load = new PackingLoad(workers, seed);
      ours.add(load.run(false));
      plain.add(load.run(true));
    }
    boolean above = true;
    for (int i = 0; i < seeds; i++) {
      above &= ours.get(i).used() > plain.get(i).used();
    }
    Spread part = Spread.of(ours.stream().mapToDouble(packed -> packed.used() / packed.bound()));
    report.add("packing.used", Spread.of(ours.stream().mapToDouble(PackingLoad.Packed::used)), "-");
    report.add("packing.part-of-bound", part, "-");
    report.add(
        "packing.plain.part-of-bound",
        Spread.of(plain.stream().mapToDouble(packed -> packed.used() / packed.bound())),
        "-");
    report.aim("packing.bound", part.least() >= AIM_PART);
    report.aim("packing.above-first-fit", above);
    BarChart chart = new BarChart("Used part of the fractional bound, by seed");
    for (int i = 0; i < seeds; i++) {
      chart.bar("seed " + (i + 1), ours.get(i).used() / ours.get(i).bound());
      chart.bar("first fit", plain.get(i).used() / plain.get(i).bound());
    }
    report.plot("packing.svg", chart.svg());
  }
}
