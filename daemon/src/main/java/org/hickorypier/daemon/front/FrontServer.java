package org.hickorypier.daemon.front;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.intake.IntakeLimits;
import org.hickorypier.daemon.owner.ConfigurationSource;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;
import org.hickorypier.daemon.time.VertxTimerService;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.intake.CallerProtocol;

/**
 * HTTP servers for callers and for the balancer's readiness checks, with graceful shutdown.
 *
 * <p>Confined to the traffic thread; {@link #drain}, {@link #close} and {@link #report} may be
 * called from any thread.
 */
public final class FrontServer {

  /** Assumed wait of a caller that sends no deadline. */
  private static final long DEFAULT_WAIT_MILLIS = 3_000;

  /** Time kept for sending the answer, so that it reaches the caller before it gives up. */
  private static final long ANSWER_MARGIN_MILLIS = 120;

  private static final long MIN_WAIT_MILLIS = 20;

  /** A stalled body may exceed its deadline by this much, since callers wait for seconds. */
  private static final Duration STALL_CHECK_PERIOD = Duration.ofMillis(250);

  private static final Duration DRAIN_CHECK_PERIOD = Duration.ofMillis(50);

  /** The owner's replies to requests read just before the end arrive within this time. */
  private static final Duration FINAL_REPLY_TIMEOUT = Duration.ofMillis(150);

  /** Sized for many callers that connect at once after an outage. */
  static final int ACCEPT_BACKLOG = 1_024;

  /** The headers of requests that the front and its HTTP server use. */
  private static final Set<String> USED_HEADERS =
      Set.of(
          "host",
          "authorization",
          "connection",
          "content-length",
          "transfer-encoding",
          "expect",
          CallerProtocol.DEADLINE_HEADER.toLowerCase(Locale.ROOT));

  /** The balancer uses one connection at a time. */
  private static final IntakeLimits READINESS_LIMITS = new IntakeLimits(64, 1 << 20);

  private static final String ENDING = "this instance ends";
  private static final String TOO_MUCH_HELD =
      "the incomplete requests of all callers exceed the memory of this instance";

  private static final int OK = 200;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int UNAVAILABLE = 503;

  private final Vertx vertx;
  private final Context traffic;
  private final TimerService timers;
  private final BooleanSupplier ready;
  private final EventLog log;
  private final ConnectionGuard guard;
  private final CallerConnectionRegistry connections;
  private final RequestHandler handler;
  private boolean stallCheckScheduled;
  private boolean draining;
  private boolean closing;
  private long processEndNanos;

  /**
   * Creates the server; called on the traffic thread.
   *
   * @param vertx runs the input and output
   * @param control the context of the control thread
   * @param configuration the routes and keys by which access is decided
   * @param owner the client that sends requests to the owner
   * @param ready whether the balancer may send new connections
   * @param wallMillis the wall clock, in milliseconds since 1970
   * @param intake the limits of what all callers hold together
   * @param log receives the events
   */
  public FrontServer(
      Vertx vertx,
      Context control,
      ConfigurationSource configuration,
      OwnerClient owner,
      BooleanSupplier ready,
      LongSupplier wallMillis,
      IntakeLimits intake,
      EventLog log) {
    this.vertx = vertx;
    this.traffic = vertx.getOrCreateContext();
    this.timers = new VertxTimerService(vertx, traffic);
    this.ready = ready;
    this.log = log;
    this.guard =
        new ConnectionGuard(
            "front",
            intake,
            USED_HEADERS::contains,
            GuardMode.RECORDED,
            this::refuseCaller,
            timers::nowMillis,
            log);
    this.connections = new CallerConnectionRegistry(timers, guard);
    this.handler =
        new RequestHandler(
            traffic, control, timers, configuration, owner, wallMillis, log, guard, this::answer);
  }

  /**
   * Starts both servers; called on the traffic thread.
   *
   * @param front the address for callers
   * @param readiness the address for the balancer's readiness checks
   * @return completes when both servers listen
   */
  public Future<HttpServer> listen(ServiceAddress front, ServiceAddress readiness) {
    ConnectionGuard readinessGuard =
        new ConnectionGuard(
            "ready",
            READINESS_LIMITS,
            USED_HEADERS::contains,
            GuardMode.ANSWERED_AT_ONCE,
            guarded -> guarded.connection().close(),
            timers::nowMillis,
            log);
    HttpServer readyServer =
        vertx
            .createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
            .connectionHandler(connection -> admitReadinessCheck(readinessGuard, connection))
            .requestHandler(
                request ->
                    request
                        .response()
                        .setStatusCode(ready.getAsBoolean() ? OK : UNAVAILABLE)
                        .end());
    // With the HTTP/2 upgrade enabled, a connection is reported with its first request only, so one
    // without a request could not be closed at shutdown.
    HttpServerOptions options =
        new HttpServerOptions().setAcceptBacklog(ACCEPT_BACKLOG).setHttp2ClearTextEnabled(false);
    HttpServer frontServer =
        vertx
            .createHttpServer(options)
            .connectionHandler(this::registerConnection)
            .requestHandler(this::beginExchange);
    // The balancer sends connections once the instance is ready, so the front has to listen first.
    return frontServer
        .listen(front.port(), front.host())
        .compose(listening -> readyServer.listen(readiness.port(), readiness.host()));
  }

  /**
   * Starts to drain: each answer closes its connection, idle connections are closed over time, and
   * no request waits beyond the end of the process.
   *
   * <p>A request that is still open when a graceful shutdown ends loses its connection without an
   * answer. Waits are therefore cut short so that an answer can still be sent; a retry goes to
   * another instance and finds the same submission.
   *
   * @param endNanos when the process ends, by {@link System#nanoTime}
   * @return completes when the balancer has removed the instance and no caller is connected
   */
  public Future<Void> drain(long endNanos) {
    Promise<Void> drained = Promise.promise();
    traffic.runOnContext(
        ignored -> {
          processEndNanos = endNanos;
          draining = true;
          connections.resetCounters();
          new Drain(drained).begin();
        });
    return drained.future();
  }

  /** Closes idle connections periodically until none is left. */
  private final class Drain {

    private final Promise<Void> drained;
    private final long beganAtMillis = timers.nowMillis();
    private TimerSubscription checkTimer = () -> {};

    Drain(Promise<Void> drained) {
      this.drained = drained;
    }

    void begin() {
      checkTimer = timers.every(DRAIN_CHECK_PERIOD, this::closeIdleConnections);
    }

    private void closeIdleConnections() {
      long sinceDrainMillis = timers.nowMillis() - beganAtMillis;
      connections.closeIdle(sinceDrainMillis);
      if (sinceDrainMillis >= DrainPolicy.BALANCER_NOTICE_MILLIS
          && connections.report().connections() == 0) {
        checkTimer.cancel();
        drained.tryComplete();
      }
    }
  }

  /**
   * Returns the counts of caller connections and requests.
   *
   * @return the counts, from {@link #drain} on if that was called
   */
  public DrainReport report() {
    return connections.report();
  }

  /**
   * Returns what the callers hold; callable from any thread.
   *
   * @return the memory and the connections
   */
  public IntakeReport intake() {
    return guard.report();
  }

  /**
   * Stops reading requests, shortly before the process ends.
   *
   * <p>A caller may keep its connection through a graceful shutdown and send its next request while
   * the process exits, which takes 0.3 s on a busy machine. If that request were read, its
   * connection would end without an answer. Each idle connection is therefore closed at once,
   * independently of the others; an incomplete request is refused; a complete one is answered, with
   * an unknown outcome if no reply arrives in time. This is sufficient because it runs on the
   * thread that reads requests, and a request on a closed connection is not read, so the caller may
   * send it again elsewhere.
   *
   * @return completes when no connection is open
   */
  public Future<Void> close() {
    Promise<Void> closed = Promise.promise();
    traffic.runOnContext(
        ignored -> {
          draining = true;
          closing = true;
          connections.closeAllIdle().onComplete(closed);
          refuseIncomplete();
          timers.after(FINAL_REPLY_TIMEOUT, this::answerOpenAsUnknown);
        });
    return closed.future();
  }

  private void refuseIncomplete() {
    connections.openExchanges().stream()
        .filter(exchange -> !exchange.isBodyComplete())
        .forEach(exchange -> handler.refuseIncomplete(exchange, ENDING));
  }

  private void answerOpenAsUnknown() {
    connections.openExchanges().forEach(handler::answerOutcomeUnknown);
  }

  private static void admitReadinessCheck(ConnectionGuard guard, HttpConnection connection) {
    GuardedConnection guarded = guard.install(connection);
    connection.closeHandler(
        ignored -> {
          guarded.recordClosed();
          guard.update(guarded);
        });
    guard.open(guarded);
  }

  private void registerConnection(HttpConnection connection) {
    GuardedConnection guarded = guard.install(connection);
    connections.register(guarded);
    guard.open(guarded);
    if (closing) {
      connection.close();
    }
  }

  /** Refuses the incomplete request of a caller, if it has begun one, and closes its connection. */
  private void refuseCaller(GuardedConnection guarded) {
    for (Exchange exchange : connections.openExchanges(guarded.connection())) {
      exchange.request().response().putHeader("Connection", "close");
      handler.refuseIncomplete(exchange, TOO_MUCH_HELD);
    }
    guarded.connection().close();
  }

  private void beginExchange(HttpServerRequest request) {
    long wait = waitMillis(request);
    Exchange exchange = connections.beginExchange(request, wait);
    BodyReader.read(
        exchange,
        new BodyReader.Callback() {
          @Override
          public void onPart() {
            exchange.connection().guarded().recordBody(exchange.body().length());
            guard.update(exchange.connection().guarded());
          }

          @Override
          public void onComplete() {
            handleCompleteRequest(exchange, wait);
          }

          @Override
          public void onRefused(int status, String text) {
            refuseBody(exchange, status, text);
          }
        });
    if (!exchange.isBodyComplete()) {
      scheduleStallCheck();
    }
  }

  private void handleCompleteRequest(Exchange exchange, long wait) {
    if (exchange.isEnded()) {
      return;
    }
    exchange.markBodyComplete();
    exchange.connection().guarded().recordComplete();
    guard.update(exchange.connection().guarded());
    if (closing) {
      handler.refuseIncomplete(exchange, ENDING);
    } else {
      handler.handle(exchange, draining ? Math.min(wait, remainingMillis()) : wait);
    }
  }

  /** Closes the connection too, since the rest of the refused body would follow on it. */
  private void refuseBody(Exchange exchange, int status, String text) {
    if (!exchange.isEnded()) {
      exchange.request().response().putHeader("Connection", "close");
      answer(exchange, status, text);
      exchange.connection().closeIfIdle();
    }
  }

  private void scheduleStallCheck() {
    if (!stallCheckScheduled) {
      stallCheckScheduled = true;
      timers.after(STALL_CHECK_PERIOD, this::refuseOverdueBodies);
    }
  }

  private void refuseOverdueBodies() {
    stallCheckScheduled = false;
    long now = timers.nowMillis();
    for (Exchange exchange : connections.openExchanges()) {
      if (exchange.isBodyOverdue(now)) {
        refuseBody(
            exchange, REQUEST_TIMEOUT, CallerProtocol.formatError("the body did not come in time"));
      } else if (!exchange.isBodyComplete()) {
        scheduleStallCheck();
      }
    }
  }

  private long waitMillis(HttpServerRequest request) {
    String text = request.getHeader(CallerProtocol.DEADLINE_HEADER);
    long wait = DEFAULT_WAIT_MILLIS;
    try {
      wait = text == null ? wait : Long.parseLong(text.trim());
    } catch (NumberFormatException error) {
      // A malformed deadline is treated as absent, since a request is valid without one.
      wait = DEFAULT_WAIT_MILLIS;
    }
    return Math.max(MIN_WAIT_MILLIS, wait - ANSWER_MARGIN_MILLIS);
  }

  private long remainingMillis() {
    long remaining = TimeUnit.NANOSECONDS.toMillis(processEndNanos - System.nanoTime());
    return Math.max(MIN_WAIT_MILLIS, remaining - ANSWER_MARGIN_MILLIS);
  }

  private void answer(Exchange exchange, int status, String text) {
    if (!connections.endExchange(exchange)) {
      return;
    }
    connections.countAnswer(status != RequestHandler.OUTCOME_UNKNOWN);
    if (draining) {
      exchange.request().response().putHeader("Connection", "close");
    }
    Future<Void> written = exchange.writeAnswer(status, text);
    if (draining) {
      // The close is deferred so that a request pipelined behind this one is read and answered.
      written.onComplete(done -> vertx.runOnContext(next -> exchange.connection().closeIfIdle()));
    }
  }
}
