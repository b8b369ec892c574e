package org.hickorypier.measure;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.Options;

/**
 * Measures how far teams are from their share on a full fleet under eight instances.
 *
 * <p>Holds no state, so safe to use from any thread.
 */
final class FairnessCommand implements MeasureCommand {

  private static final int[] TEAMS = {6, 62};
  private static final double AIM_DISTANCE = 0.02;

  @Override
  public String name() {
    return "fairness";
  }

  @Override
  public String description() {
    return "distance of teams from their share over 8 instances, beside first come first served";
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
    int workers = arguments.number("workers", 120, 8, 5_000);
    int seeds = arguments.number("seeds", 5, 1, 100);
    BarChart chart = new BarChart("Largest distance from the entitled share, mean over 60 s");
    for (int teams : TEAMS) {
      for (boolean plain : new boolean[] {false, true}) {
        List<FairnessLoad.Distances> runs = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
          runs.add(new FairnessLoad(workers, teams, seed, plain).run());
        }
        String prefix = "fairness." + (plain ? "plain." : "") + teams + ".";
        Spread mean = Spread.of(runs.stream().mapToDouble(FairnessLoad.Distances::meanOverRun));
        Spread worst = Spread.of(runs.stream().mapToDouble(FairnessLoad.Distances::worstSecond));
        report.add(prefix + "distance", mean, "-");
        report.add(prefix + "worst-second", worst, "-");
        chart.bar(teams + " teams" + (plain ? ", plain" : ""), mean.median());
        if (!plain) {
          report.aim("fairness." + teams, mean.most() <= AIM_DISTANCE);
          report.aim("fairness.worst-second." + teams, worst.most() <= AIM_DISTANCE);
        }
      }
    }
    report.plot("fairness.svg", chart.svg());
  }
}
