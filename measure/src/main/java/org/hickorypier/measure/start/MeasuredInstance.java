package org.hickorypier.measure.start;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.standins.http.LoopbackPort;

/**
 * One instance of the program as a process, with what was measured of it.
 *
 * <p>Confined to one thread.
 */
final class MeasuredInstance implements AutoCloseable {

  private static final String LOOPBACK = "127.0.0.1";
  private static final long START_SECONDS = 30;
  private static final long AFTER_START_MILLIS = 5_000;

  /** By then the operator's endpoints serve, and the journal is followed or written. */
  private static final long IDLE_FROM_MILLIS = 10_000;

  /** A reading takes about 1 ms; log lines are written up to 100 ms late. */
  private static final long READ_PERIOD_MILLIS = 5;

  private static final double KIB_PER_MIB = 1024;

  private final String name;
  private final Path folder;
  private final Path output;
  private final Process process;
  private final Path processDirectory;
  private final Map<String, Double> figures = new TreeMap<>();
  private ProcessReading last = ProcessReading.NONE;
  private long startedAtMillis;

  MeasuredInstance(String name, String runLine, ServiceAddress platform) throws IOException {
    this.name = name;
    this.folder = Files.createTempDirectory("measure-start");
    this.output = folder.resolve("output");
    Path settings = folder.resolve("settings.json");
    Files.writeString(settings, settings(name, platform).encode());
    this.process =
        new ProcessBuilder(StartCommand.command(runLine, settings))
            .directory(StartCommand.ROOT.toFile())
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    this.processDirectory = Path.of("/proc", String.valueOf(process.pid()));
  }

  private static JsonObject settings(String name, ServiceAddress platform) throws IOException {
    return new JsonObject()
        .put("name", name)
        .put("address", LOOPBACK)
        .put("peerPort", LoopbackPort.free())
        .put("metricsPort", LoopbackPort.free())
        .put("front", LOOPBACK + ":" + LoopbackPort.free())
        .put("ready", LOOPBACK + ":" + LoopbackPort.free())
        .put("store", platform.toString())
        .put("advisor", platform.toString())
        .put("processorShare", 0.5)
        .put("processorSpeed", 1)
        .put("linkMegabits", 100)
        .put("longestLeaseMillis", 6_000)
        .put("gangMillis", 4_000)
        .put("revokeMillis", 5_000)
        .put("stateKeptSeconds", 120)
        .put("graceSeconds", 6)
        .put("leastGroupLifetimeMillis", 1_000)
        .put("workerHeartbeatMillis", 1_500);
  }

  /** Reads until the instance has started, and for the time after that. */
  void measureStart() throws IOException, InterruptedException {
    Map<Long, ProcessReading> readings = new TreeMap<>();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
    while (startedAtMillis == 0) {
      if (System.nanoTime() > end || !process.isAlive()) {
        throw new IOException(name + " did not start:\n" + Files.readString(output));
      }
      read();
      readings.put(System.currentTimeMillis(), last);
      startedAtMillis = startedAt(Files.readString(output));
      TimeUnit.MILLISECONDS.sleep(READ_PERIOD_MILLIS);
    }
    // Of the readings, the first after the time in the log line.
    ProcessReading started =
        readings.entrySet().stream()
            .filter(entry -> entry.getKey() >= startedAtMillis)
            .findFirst()
            .map(Map.Entry::getValue)
            .orElse(last);
    put("until_started", ProcessReading.NONE, started, 1);
    readUntil(startedAtMillis + AFTER_START_MILLIS);
    put("next_5s", started, last, 1);
  }

  /**
   * Reads the counters of idle instances.
   *
   * @param instances the instances, which have started
   * @param seconds for how long
   */
  static void measureIdle(List<MeasuredInstance> instances, int seconds)
      throws IOException, InterruptedException {
    List<ProcessReading> before = new ArrayList<>();
    for (MeasuredInstance instance : instances) {
      instance.readUntil(instance.startedAtMillis + IDLE_FROM_MILLIS);
    }
    for (MeasuredInstance instance : instances) {
      instance.read();
      before.add(instance.last);
    }
    TimeUnit.SECONDS.sleep(seconds);
    for (int index = 0; index < instances.size(); index++) {
      MeasuredInstance instance = instances.get(index);
      instance.read();
      instance.put("idle_second", before.get(index), instance.last, seconds);
      instance.figures.put(
          "idle_second.wake_ups",
          (double) (instance.last.wakeUps() - before.get(index).wakeUps()) / seconds);
      String status = Files.readString(instance.processDirectory.resolve("status"));
      instance.figures.put("memory.peak", ProcessReading.field(status, "VmHWM") / KIB_PER_MIB);
      instance.figures.put("memory.own", ProcessReading.field(status, "RssAnon") / KIB_PER_MIB);
    }
  }

  /** Adds the figures under the instance's name. */
  void addTo(Map<String, List<Double>> values) {
    figures.forEach(
        (key, value) ->
            values.computeIfAbsent(name + "." + key, none -> new ArrayList<>()).add(value));
  }

  private void readUntil(long timeMillis) throws IOException, InterruptedException {
    while (System.currentTimeMillis() < timeMillis) {
      read();
      TimeUnit.MILLISECONDS.sleep(
          Math.min(100, Math.max(1, timeMillis - System.currentTimeMillis())));
    }
    read();
  }

  private void read() throws IOException {
    last = last.next(processDirectory);
  }

  private void put(String key, ProcessReading from, ProcessReading until, int divisor) {
    putDifference(key + ".all", from, until, divisor, ProcessReading::processorMillis);
    for (ThreadGroup group : ThreadGroup.values()) {
      putDifference(
          key + "." + group.name().toLowerCase(Locale.ROOT),
          from,
          until,
          divisor,
          reading -> reading.processorMillis(group));
    }
  }

  private void putDifference(
      String key,
      ProcessReading from,
      ProcessReading until,
      int divisor,
      ToDoubleFunction<ProcessReading> value) {
    figures.put(key, (value.applyAsDouble(until) - value.applyAsDouble(from)) / divisor);
  }

  /** Returns the time of the line that says that the instance has started, or 0. */
  private static long startedAt(String log) {
    return log.lines()
        .filter(line -> line.contains("\"event\":\"started\""))
        .mapToLong(line -> new JsonObject(line).getLong("time"))
        .findFirst()
        .orElse(0);
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly().onExit().join();
    Files.delete(folder.resolve("settings.json"));
    Files.delete(output);
    Files.delete(folder);
  }
}
