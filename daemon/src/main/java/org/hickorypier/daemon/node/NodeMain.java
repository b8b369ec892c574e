package org.hickorypier.daemon.node;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.transport.Transport;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.front.EarlyListener;
import org.hickorypier.daemon.report.JsonLineLog;
import org.hickorypier.daemon.report.LibraryLogHandler;
import org.hickorypier.daemon.report.MeteredEventLog;

/**
 * Command that runs one instance of the scheduler on the platform.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 1 if the instance could not start, 2 if a flag or the
 * settings file is invalid.
 */
public final class NodeMain {

  private static final String PART = "node";

  /** Shows which call of this program has failed in a library. */
  private static final int MAX_LOGGED_FRAMES = 12;

  private static final String EXPLAIN_PATH = "/explain/";
  private static final int EXIT_START_FAILED = 1;
  private static final int EXIT_INVALID_USAGE = 2;

  /**
   * Metrics start late, so that a restarted process first takes the cell over and clears its
   * backlog.
   */
  private static final long METRICS_DELAY_MILLIS = 3_000;

  private NodeMain() {}

  /**
   * Starts the instance.
   *
   * @param arguments the command-line flags
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
   * @param arguments the command-line flags
   * @return the instance
   * @throws ParseException if a flag is missing or invalid
   * @throws SettingsFileException if the settings file is invalid
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
   * An instance that is starting or running in this process.
   *
   * @param vertx runs its input and output
   * @param log receives its events
   * @param deployed completes when the instance listens
   * @param isStopping tells whether the instance is shutting down, so that it need not start
   */
  public record StartedInstance(
      Vertx vertx, JsonLineLog log, Future<String> deployed, BooleanSupplier isStopping) {}

  /**
   * Starts an instance in this process.
   *
   * @param settings its settings
   * @param wallClock supplies the time of day, in milliseconds since 1970
   * @return the instance
   */
  public static StartedInstance start(NodeSettings settings, LongSupplier wallClock) {
    JsonLineLog lines = new JsonLineLog(settings.name(), System::currentTimeMillis, System.out);
    MeteredEventLog log = new MeteredEventLog(lines);
    LibraryLogHandler.install(log);
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, error) -> log.event(PART, "fault", "thread", thread.getName(), "error", error));
    Vertx vertx = vertx(listenEarly(settings, log));
    vertx.exceptionHandler(error -> log.event(PART, "fault", "error", describe(error)));
    Node node = new Node(settings, log, wallClock);
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

  /**
   * Serves the explanation of a submission at /explain/ID and metrics as text at any other path.
   */
  private static void serveOperatorEndpoints(
      Vertx vertx, NodeSettings settings, Node node, JsonLineLog lines, MeteredEventLog log) {
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    Gauge.builder("hickorypier.log.dropped", lines, JsonLineLog::droppedLines)
        .description("log lines left out by their budget or a slow reader")
        .register(registry);
    log.bindTo(registry);
    Gauge.builder("hickorypier.intake.bytes", node, each -> each.intakeReport().heldBytes())
        .description("memory for callers' incomplete and unanswered requests, in bytes")
        .register(registry);
    FunctionCounter.builder(
            "hickorypier.intake.refused", node, each -> each.intakeReport().refused())
        .description("callers' connections refused or closed for what all hold together")
        .register(registry);
    TrafficMetrics trafficMetrics = new TrafficMetrics(node.traffic());
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
                // Purposes appear with the first message; those that are registered stay as they
                // are.
                trafficMetrics.bindTo(registry);
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
                .desc("path of the settings file")
                .get());
  }

  private static Transport listenEarly(NodeSettings settings, EventLog log) {
    try {
      return EarlyListener.open(settings.front()).transport();
    } catch (IOException error) {
      // The front server fails with the same error, or has better luck a moment later.
      log.event(PART, "no-early-listener", "error", error.getMessage());
      return Transport.NIO;
    }
  }

  private static Vertx vertx(Transport transport) {
    VertxOptions options =
        new VertxOptions()
            .setEventLoopPoolSize(2)
            .setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1)
            .setPreferNativeTransport(false)
            .setFileSystemOptions(
                new FileSystemOptions()
                    .setFileCachingEnabled(false)
                    .setClassPathResolvingEnabled(false));
    return Vertx.builder().with(options).withTransport(transport).build();
  }

  private static String describe(Throwable error) {
    Throwable root = error;
    while (root.getCause() != null) {
      root = root.getCause();
    }
    return Stream.concat(
            Stream.of(error.toString()),
            Stream.of(root.getStackTrace()).limit(MAX_LOGGED_FRAMES).map(Object::toString))
        .collect(Collectors.joining(" at "));
  }

  /**
   * Validates the settings file and logs whether it differs from the settings in use. Addresses and
   * limits are fixed for the life of a process; a change needs a restart.
   */
  private static void reload(Path file, NodeSettings current, JsonLineLog log) {
    try {
      NodeSettings updated = NodeSettings.read(file);
      log.event(PART, "reloaded", "changed", !updated.equals(current));
    } catch (SettingsFileException error) {
      log.event(PART, "reload-refused", "error", error.getMessage());
    }
  }

  private static void shutDown(Node node, NodeSettings settings, JsonLineLog log) {
    new GracefulShutdown(node, settings.graceMillis(), log).run();
    log.close();
    // The regular exit of the runtime takes 0.3 s and more on a busy machine, with all sockets
    // open.
    Runtime.getRuntime().halt(0);
  }
}
