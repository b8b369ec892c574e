package org.hickorypier.daemon.node;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.nio.file.Path;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.hickorypier.daemon.report.LibraryLog;
import org.hickorypier.daemon.report.LineLog;
import org.hickorypier.daemon.report.MeteredLog;

/**
 * Runs one instance of the scheduler on the platform.
 *
 * <p>Exit codes: 0 after a graceful end, 1 if the instance could not start, 2 if a flag or the
 * settings file cannot be used.
 */
public final class NodeMain {

  private static final String PART = "node";
  private static final String EXPLAIN_PATH = "/explain/";
  private static final int EXIT_START_FAILED = 1;
  private static final int EXIT_INVALID_USAGE = 2;

  /** Metrics can wait until a restarted process owns the cell and works off what has waited. */
  private static final long METRICS_DELAY_MILLIS = 3_000;

  private NodeMain() {}

  /**
   * Starts the instance.
   *
   * @param arguments the flags
   */
  public static void main(String[] arguments) {
    try {
      startFromFlags(arguments);
    } catch (ParseException | SettingsFileException error) {
      System.err.println("hickorypier: " + error.getMessage());
      System.exit(EXIT_INVALID_USAGE);
    }
  }

  /**
   * Starts the instance that the flags describe.
   *
   * @param arguments the flags
   * @return the instance
   * @throws ParseException if a flag cannot be used
   * @throws SettingsFileException if the settings file cannot be used
   */
  static StartedInstance startFromFlags(String[] arguments)
      throws ParseException, SettingsFileException {
    CommandLine line = new DefaultParser().parse(options(), arguments);
    Path file = Path.of(line.getOptionValue("settings"));
    NodeSettings settings = NodeSettings.read(file);
    StartedInstance started = start(settings, System::currentTimeMillis);
    try {
      HangupSignal.onHangup(() -> reload(file, settings, started.log()));
    } catch (ReflectiveOperationException error) {
      started.log().event(PART, "no-reload", "error", error);
    }
    started
        .deployed()
        .onFailure(
            error -> {
              if (started.isStopping().getAsBoolean()) {
                return;
              }
              started.log().event(PART, "cannot-start", "error", describe(error));
              started.log().close();
              Runtime.getRuntime().halt(EXIT_START_FAILED);
            });
    return started;
  }

  /**
   * A process with its instance.
   *
   * @param vertx runs the input and output
   * @param log takes the events
   * @param deployed done when the instance listens
   * @param ending tells whether the instance was told to end, so that it need not start
   */
  public record StartedInstance(
      Vertx vertx, LineLog log, Future<String> deployed, BooleanSupplier isStopping) {}

  /**
   * Starts an instance in this process.
   *
   * @param settings its settings
   * @param wall the time of day, milliseconds since 1970
   * @return the instance
   */
  public static StartedInstance start(NodeSettings settings, LongSupplier wall) {
    LineLog lines = new LineLog(settings.name(), System::currentTimeMillis, System.out);
    MeteredLog log = new MeteredLog(lines);
    LibraryLog.install(log);
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, error) -> log.event(PART, "fault", "thread", thread.getName(), "error", error));
    Vertx vertx = vertx();
    vertx.exceptionHandler(error -> log.event(PART, "fault", "error", describe(error)));
    Node node = new Node(settings, log, wall);
    log.event(PART, "starting", "front", settings.front(), "store", settings.store());
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> shutDown(node, settings, lines), "shutdown"));
    Future<String> deployed =
        vertx
            .deployVerticle(node)
            .onSuccess(id -> log.event(PART, "started", "peer_port", settings.peerPort()));
    vertx.setTimer(
        METRICS_DELAY_MILLIS, id -> serveOperatorEndpoints(vertx, settings, node, lines, log));
    return new StartedInstance(vertx, lines, deployed, node::isStopping);
  }

  /** Metrics as text at any path, and what a submission waits for at /explain/ID. */
  private static void serveOperatorEndpoints(
      Vertx vertx, NodeSettings settings, Node node, LineLog lines, MeteredLog log) {
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    Gauge.builder("hickorypier.log.dropped", lines, LineLog::dropped)
        .description("log lines left out by their budget or a slow reader")
        .register(registry);
    log.countIn(registry);
    if (settings.metricsPort() == 0) {
      return;
    }
    vertx
        .createHttpServer()
        .requestHandler(
            request -> {
              if (request.path().startsWith(EXPLAIN_PATH)) {
                node.explain(request.path().substring(EXPLAIN_PATH.length()))
                    .onSuccess(text -> request.response().end(text));
              } else {
                request.response().end(registry.scrape());
              }
            })
        .listen(settings.metricsPort(), settings.address())
        .onFailure(error -> log.event(PART, "no-metrics", "error", describe(error)));
  }

  private static Options options() {
    return new Options()
        .addOption(
            Option.builder("s")
                .longOpt("settings")
                .hasArg()
                .required()
                .desc("the settings file")
                .get());
  }

  private static Vertx vertx() {
    return Vertx.vertx(
        new VertxOptions()
            .setEventLoopPoolSize(2)
            .setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1)
            .setPreferNativeTransport(false)
            .setFileSystemOptions(
                new FileSystemOptions()
                    .setFileCachingEnabled(false)
                    .setClassPathResolvingEnabled(false)));
  }

  private static String describe(Throwable error) {
    StackTraceElement[] trace = error.getStackTrace();
    return error + (trace.length == 0 ? "" : " at " + trace[0]);
  }

  /** Addresses and bounds hold for the life of a process; a change is told and needs a restart. */
  private static void reload(Path file, NodeSettings present, LineLog log) {
    try {
      NodeSettings newer = NodeSettings.read(file);
      log.event(PART, "reloaded", "changed", !newer.equals(present));
    } catch (SettingsFileException error) {
      log.event(PART, "reload-refused", "error", error.getMessage());
    }
  }

  private static void shutDown(Node node, NodeSettings settings, LineLog log) {
    new GracefulShutdown(node, settings.graceMillis(), log).run();
    log.close();
    // The runtime's own way out takes a busy machine 0.3 s and more, with all sockets open.
    Runtime.getRuntime().halt(0);
  }
}
