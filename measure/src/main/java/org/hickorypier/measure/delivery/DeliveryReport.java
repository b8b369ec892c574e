package org.hickorypier.measure.delivery;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/**
 * Prints what digests cost and what each way of delivering them costs, at 8, 16 and 60 instances.
 *
 * <p>Pure arithmetic and real encodings; no sockets and no time, so the figures are the same on any
 * machine. Not thread safe.
 */
public final class DeliveryReport {

  private static final int[] INSTANCES = {8, 16, 60};
  private static final int[] TEAMS = {6, 62};
  private static final int TASKS_TODAY = 240;
  private static final int TASKS_TARGET = 17_000;
  private static final int CHILDREN = 4;

  private final PrintStream out;

  /**
   * Creates the report.
   *
   * @param out where it is printed
   */
  public DeliveryReport(PrintStream out) {
    this.out = out;
  }

  /** Prints all tables. */
  public void print() {
    for (int instances : INSTANCES) {
      for (int teams : TEAMS) {
        printDigests(teams, instances);
      }
    }
    for (int instances : INSTANCES) {
      out.println();
      line("delivery at %d instances, one unbounded digest a second each", instances);
      for (DeliveryScheme scheme : schemes(instances)) {
        printScheme(DeliveryFigures.of(scheme, instances), instances);
      }
    }
  }

  private void printDigests(int teams, int instances) {
    DigestFigures figures = digests(teams, instances);
    line(
        "digests instances %2d teams %2d tasks %5d: named %.0f B/s, unbounded %.0f B/s,"
            + " bounded %.0f B/s a link and %.0f B/s an instance",
        instances,
        teams,
        tasks(teams),
        figures.named(),
        figures.unbounded(),
        figures.bounded(),
        figures.bounded() * (instances - 1));
    line(
        "  first %d B, fixed %d B, team %d B, room every %.1f s, use off by %.1f %%",
        figures.first(),
        figures.fixed(),
        figures.each(),
        figures.roomSeconds(),
        figures.useError() * 100);
  }

  static List<DeliveryScheme> schemes(int instances) {
    return List.of(
        new FullMesh(instances),
        RandomGossip.sized(instances),
        new StripedTrees(instances, CHILDREN, 1, 1),
        new StripedTrees(instances, CHILDREN, CHILDREN, 1),
        new StripedTrees(instances, CHILDREN, CHILDREN, 2));
  }

  private void printScheme(DeliveryFigures figures, int instances) {
    line(
        "%-28s links %2d hops %d missed %.0f ppm, stale with one dead %d s",
        figures.scheme(),
        figures.links(),
        figures.hops(),
        figures.unreachedPerMillion(),
        figures.staleSeconds());
    for (int teams : TEAMS) {
      double change = digests(teams, instances).unbounded();
      line(
          "  %2d teams: sent %.0f B/s mean, %.0f B/s busiest; received %.0f B/s",
          teams,
          figures.sentMean() * change,
          figures.sentWorst() * change,
          figures.receivedMean() * change);
    }
  }

  private static DigestFigures digests(int teams, int instances) {
    return new DigestLoad(teams, tasks(teams) / instances).measure(instances - 1);
  }

  private static int tasks(int teams) {
    return teams == TEAMS[0] ? TASKS_TODAY : TASKS_TARGET;
  }

  private void line(String format, Object... values) {
    out.println(String.format(Locale.ROOT, format, values));
  }
}
