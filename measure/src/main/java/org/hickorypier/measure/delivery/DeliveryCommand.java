package org.hickorypier.measure.delivery;

import java.util.List;
import org.apache.commons.cli.Options;
import org.hickorypier.measure.Arguments;
import org.hickorypier.measure.BadArgumentException;
import org.hickorypier.measure.MeasureCommand;
import org.hickorypier.measure.Report;

/**
 * Works out what digests cost and what each way of delivering them costs.
 *
 * <p>Real encodings and arithmetic; no sockets and no clock, so every machine prints the same.
 * Holds no state, so safe to use from any thread.
 */
public final class DeliveryCommand implements MeasureCommand {

  /** Today's cell: both users' workers with a task on half of the slots. */
  private static final int TASKS_TODAY = 240;

  private static final int TASKS_AT_TARGET = 17_000;
  private static final int TEAMS_TODAY = 6;
  private static final int CHILDREN = 4;
  private static final String BYTES = "B/s";

  @Override
  public String name() {
    return "delivery";
  }

  @Override
  public String description() {
    return "bytes, hops and age of digests by mesh, gossip and trees";
  }

  @Override
  public Options options() {
    Options options = new Options();
    options.addOption(null, "instances", true, "numbers of instances, separated by commas");
    options.addOption(null, "teams", true, "numbers of teams, separated by commas");
    return options;
  }

  @Override
  public void run(Arguments arguments, Report report) throws BadArgumentException {
    List<Integer> teams = arguments.numbers("teams", List.of(TEAMS_TODAY, 62), 1, 200);
    for (int instances : arguments.numbers("instances", List.of(8, 16, 60), 5, 100)) {
      String prefix = "delivery." + instances;
      for (DeliveryScheme scheme : schemes(instances)) {
        DeliveryFigures figures = DeliveryFigures.of(scheme, instances);
        addScheme(report, prefix + "." + scheme.name(), figures);
      }
      for (int count : teams) {
        addDigests(report, prefix, count, instances);
      }
    }
  }

  static List<DeliveryScheme> schemes(int instances) {
    return List.of(
        new FullMesh(instances),
        RandomGossip.sized(instances),
        new StripedTrees(instances, CHILDREN, 1, 1),
        new StripedTrees(instances, CHILDREN, CHILDREN, 1),
        new StripedTrees(instances, CHILDREN, CHILDREN, 2));
  }

  private static void addScheme(Report report, String key, DeliveryFigures figures) {
    report.add(key + ".links", figures.links(), "-");
    report.add(key + ".hops", figures.hops(), "-");
    report.add(key + ".copies-sent-mean", figures.sentMean(), "1/s");
    report.add(key + ".copies-sent-busiest", figures.sentWorst(), "1/s");
    report.add(key + ".copies-received-mean", figures.receivedMean(), "1/s");
    report.add(key + ".missed", figures.unreachedPerMillion(), "ppm");
    report.add(key + ".stale-with-one-dead", figures.staleSeconds(), "s");
  }

  private static void addDigests(Report report, String prefix, int teams, int instances) {
    int tasks = teams <= TEAMS_TODAY ? TASKS_TODAY : TASKS_AT_TARGET;
    DigestFigures figures = DigestFigures.of(teams, tasks, instances);
    int links = instances - 1;
    String key = prefix + ".digest-" + teams + "-teams";
    report.add(key + ".named-a-link", figures.named(), BYTES);
    report.add(key + ".unbounded-a-link", figures.unbounded(), BYTES);
    report.add(key + ".bounded-a-link", figures.bounded(), BYTES);
    report.add(key + ".first", figures.first(), "B");
    report.add(key + ".named-mesh-sent", figures.named() * links, BYTES);
    report.add(key + ".unbounded-mesh-sent", figures.unbounded() * links, BYTES);
    report.add(key + ".bounded-mesh-sent", figures.bounded() * links, BYTES);
    report.add(key + ".room-every", figures.roomSeconds(), "s");
    report.add(key + ".use-off-by", figures.useError() * 100, "%");
  }
}
