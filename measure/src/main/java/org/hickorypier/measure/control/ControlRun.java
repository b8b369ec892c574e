package org.hickorypier.measure.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.hickorypier.measure.fleet.EntryProcess;
import org.hickorypier.measure.fleet.Fleet;
import org.hickorypier.measure.fleet.FleetException;
import org.hickorypier.measure.fleet.FleetSettings;

/**
 * Measures one combination: a fleet without work, then under a steady load of short requests.
 *
 * <p>Belongs to one thread.
 */
final class ControlRun {

  static final String RESIDENT = "resident";
  static final String LIVE = "live";
  static final String IDLE = "idle.";
  static final String LOAD = "load.";
  static final String PROCESSOR = "processor";
  static final String PEER_SOCKETS = "sockets.peer";
  static final String LOG_SOCKETS = "sockets.log";
  static final String LIST_SOCKETS = "sockets.list";
  static final String WORKER_SOCKETS = "sockets.worker";
  static final String STARTS = "starts";
  static final String PER_START = "processor.per.start";
  static final String NOT_COMPLETED = "not.completed";

  private static final int TEAM_LIMIT = 2_400;
  private static final long SETTLE_SECONDS = 5;
  // The daemon's defaults, but for the heartbeat, which the fleet makes a third of the timeout.
  private static final long LEASE_MILLIS = 30_000;
  private static final long RENEWAL_MILLIS = 10_000;
  private static final long PEER_TIMEOUT_MILLIS = 1_500;
  private static final long SHUTDOWN_MILLIS = 10_000;
  private static final double PERCENT = 100;
  private static final double MEBIBYTE = 1_048_576;
  private static final double MILLIS = 1_000;

  private final ControlSettings settings;
  private final TreeMap<String, Double> values = new TreeMap<>();

  ControlRun(ControlSettings settings) {
    this.settings = settings;
  }

  ControlFigures run() throws FleetException {
    FleetSettings size =
        new FleetSettings(
            settings.instances(),
            1,
            settings.workers(),
            LEASE_MILLIS,
            RENEWAL_MILLIS,
            PEER_TIMEOUT_MILLIS,
            SHUTDOWN_MILLIS);
    try (Fleet fleet = Fleet.start(size)) {
      fleet.awaitControl();
      final String key = fleet.createTeam("control", TEAM_LIMIT);
      DaemonProbe probe = new DaemonProbe(fleet);
      live(IDLE, fleet, probe);
      pause(SETTLE_SECONDS);
      measure(IDLE, fleet, probe);
      load(fleet, probe, key);
      live(LOAD, fleet, probe);
    }
    return new ControlFigures(settings, values);
  }

  private void load(Fleet fleet, DaemonProbe probe, String key) throws FleetException {
    RequestLoad load = new RequestLoad(fleet, key, settings.perSecond());
    try {
      pause(SETTLE_SECONDS);
      int before = load.completed();
      int othersBefore = load.others();
      measure(LOAD, fleet, probe);
      double starts = (load.completed() - before) / (double) settings.seconds();
      values.put(LOAD + STARTS, starts);
      values.put(LOAD + NOT_COMPLETED, (double) load.others() - othersBefore);
      double added = values.get(LOAD + PROCESSOR) - values.get(IDLE + PROCESSOR);
      values.put(
          LOAD + PER_START, added / PERCENT * MILLIS * settings.instances() / Math.max(1, starts));
    } finally {
      load.end();
    }
  }

  private void measure(String phase, Fleet fleet, DaemonProbe probe) throws FleetException {
    List<DaemonReading> before = probe.readAll();
    pause(settings.seconds());
    List<DaemonReading> after = probe.readAll();
    Set<Integer> peers = ports(fleet.entries().stream().map(entry -> entry.peer().port()).toList());
    Set<Integer> log = Set.of(fleet.logAddress().port());
    Set<Integer> list = Set.of(fleet.listAddress().port());
    Set<Integer> workers = new TreeSet<>();
    fleet
        .workers()
        .groups()
        .forEach(group -> group.workers().forEach(worker -> workers.add(worker.port())));
    for (int index = 0; index < after.size(); index++) {
      DaemonReading first = before.get(index);
      DaemonReading last = after.get(index);
      double seconds = (last.nanos() - first.nanos()) / (double) TimeUnit.SECONDS.toNanos(1);
      double used = last.processorSeconds() - first.processorSeconds();
      average(phase + PROCESSOR, used / seconds * PERCENT);
      average(phase + RESIDENT, last.residentBytes() / MEBIBYTE);
      SocketCounters sockets = last.sockets();
      average(phase + PEER_SOCKETS, sockets.bytesSince(first.sockets(), peers) / seconds);
      average(phase + LOG_SOCKETS, sockets.bytesSince(first.sockets(), log) / seconds);
      average(phase + LIST_SOCKETS, sockets.bytesSince(first.sockets(), list) / seconds);
      average(phase + WORKER_SOCKETS, sockets.bytesSince(first.sockets(), workers) / seconds);
      last.counters()
          .forEach(
              (name, value) -> {
                double earlier = first.counters().getOrDefault(name, 0.0);
                average(phase + name, (value - earlier) / seconds);
              });
    }
  }

  private void live(String phase, Fleet fleet, DaemonProbe probe) throws FleetException {
    List<Long> bytes = new ArrayList<>();
    for (EntryProcess entry : fleet.entries()) {
      bytes.add(probe.liveBytes(entry));
    }
    bytes.forEach(live -> average(phase + LIVE, live / MEBIBYTE));
  }

  /** Adds one daemon's part of the mean. */
  private void average(String name, double value) {
    values.merge(name, value / settings.instances(), Double::sum);
  }

  private static Set<Integer> ports(List<Integer> ports) {
    return ports.stream().collect(Collectors.toSet());
  }

  private static void pause(long seconds) throws FleetException {
    try {
      TimeUnit.SECONDS.sleep(seconds);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", error);
    }
  }
}
