package org.hickorypier.measure.control;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.apache.commons.cli.Options;
import org.hickorypier.measure.Arguments;
import org.hickorypier.measure.BadArgumentException;
import org.hickorypier.measure.MeasureCommand;
import org.hickorypier.measure.MeasureException;
import org.hickorypier.measure.Report;
import org.hickorypier.measure.fleet.FleetException;

/**
 * {@code bin/measure control}.
 *
 * <p>Holds no state, so safe to use from any thread.
 */
public final class ControlCommand implements MeasureCommand {

  private static final String INSTANCES = "instances";
  private static final String WORKERS = "workers";
  private static final String SECONDS = "seconds";
  private static final String RATE = "rate";

  // 16 daemons of 250 MB, a process of workers and this one: 5 GB at the most at any time.
  private static final int MOST_INSTANCES = 16;
  private static final int MOST_WORKERS = 600;

  /** What is fitted over instances and over workers for each instance. */
  private static final List<String> FITTED =
      List.of(
          ControlRun.IDLE + ControlRun.PROCESSOR,
          ControlRun.IDLE + ControlRun.RESIDENT,
          ControlRun.IDLE + ControlRun.LIVE,
          ControlRun.IDLE + ControlRun.PEER_SOCKETS,
          ControlRun.IDLE + ControlRun.LOG_SOCKETS,
          ControlRun.IDLE + ControlRun.LIST_SOCKETS,
          ControlRun.IDLE + ControlRun.WORKER_SOCKETS,
          ControlRun.IDLE + "worker.calls.renew",
          ControlRun.IDLE + "worker.calls.status",
          ControlRun.LOAD + ControlRun.PER_START,
          ControlRun.LOAD + ControlRun.LIVE);

  @Override
  public String name() {
    return "control";
  }

  @Override
  public String description() {
    return "what daemons spend on control, idle and under load, and its slopes";
  }

  @Override
  public Options options() {
    Options options = new Options();
    options.addOption(null, INSTANCES, true, "daemons, 2 to 16 (4,8)");
    options.addOption(null, WORKERS, true, "workers, 1 to 600 (30,300)");
    options.addOption(null, SECONDS, true, "length of each of two phases, 5 to 60 (10)");
    options.addOption(null, RATE, true, "requests a second under load, 1 to 200 (50)");
    return options;
  }

  @Override
  public void run(Arguments arguments, Report report)
      throws BadArgumentException, MeasureException {
    List<Integer> instances = arguments.numbers(INSTANCES, List.of(4, 8), 2, MOST_INSTANCES);
    List<Integer> workers = arguments.numbers(WORKERS, List.of(30, 300), 1, MOST_WORKERS);
    int seconds = arguments.number(SECONDS, 10, 5, 60);
    int rate = arguments.number(RATE, 50, 1, 200);
    List<ControlFigures> all = new ArrayList<>();
    for (int daemons : instances) {
      for (int size : workers) {
        ControlSettings settings = new ControlSettings(daemons, size, seconds, rate);
        try {
          ControlFigures figures = new ControlRun(settings).run();
          all.add(figures);
          report(figures, report);
        } catch (FleetException error) {
          throw new MeasureException(error.getMessage(), error);
        }
      }
    }
    if (all.size() >= LeastSquares.UNKNOWNS) {
      fit(all, report);
    }
  }

  private static void report(ControlFigures figures, Report report) {
    String prefix =
        "i" + figures.settings().instances() + ".w" + figures.settings().workers() + ".";
    figures.values().forEach((name, value) -> report.add(prefix + name, value, unit(name)));
  }

  private static void fit(List<ControlFigures> all, Report report) {
    SortedSet<String> names = new TreeSet<>(FITTED);
    for (ControlFigures figures : all) {
      figures.values().keySet().stream()
          .filter(name -> name.startsWith(ControlRun.IDLE + "peer.bytes"))
          .forEach(names::add);
    }
    for (String name : names) {
      slopes("slope.each.", name, all, true, report);
      slopes("slope.all.", name, all, false, report);
    }
  }

  /** Over the workers that one daemon controls, or over those that it only knows of. */
  private static void slopes(
      String prefix, String name, List<ControlFigures> all, boolean each, Report report) {
    List<LeastSquares.Point> points = new ArrayList<>();
    for (ControlFigures figures : all) {
      int instances = figures.settings().instances();
      double workers = figures.settings().workers() / (each ? (double) instances : 1);
      points.add(new LeastSquares.Point(instances, workers, figures.value(name)));
    }
    LeastSquares plane = LeastSquares.fit(points);
    report.add(prefix + name + ".base", plane.base(), unit(name));
    report.add(prefix + name + ".instance", plane.first(), unit(name));
    report.add(prefix + name + ".worker", plane.second(), unit(name));
    report.add(prefix + name + ".residual", plane.residual(), unit(name));
  }

  private static String unit(String name) {
    if (name.endsWith(ControlRun.PER_START)) {
      return "ms";
    }
    if (name.endsWith(ControlRun.PROCESSOR)) {
      return "%";
    }
    if (name.endsWith(ControlRun.RESIDENT) || name.endsWith(ControlRun.LIVE)) {
      return "MiB";
    }
    if (name.endsWith(ControlRun.NOT_COMPLETED)) {
      return "-";
    }
    return name.contains("bytes") || name.contains("sockets") ? "B/s" : "1/s";
  }
}
