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
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.owner.ConfigurationSource;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;
import org.hickorypier.daemon.time.VertxTimerService;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.intake.CallerProtocol;

/**
 * Serves callers and the balancer's readiness checks, and ends both gracefully.
 *
 * <p>Belongs to the traffic thread; {@link #drain}, {@link #close} and {@link #report} may be
 * called from any thread.
 */
public final class FrontServer {

  /** How long a caller is taken to wait that does not say so. */
  private static final long USUAL_WAIT_MILLIS = 3_000;

  /** Covers the way back to the caller, so that it gets an answer before it leaves. */
  private static final long WAY_BACK_MILLIS = 120;

  private static final long SHORTEST_WAIT_MILLIS = 20;

  /** Callers wait for seconds; a stalled body may stay this much longer. */
  private static final Duration STALL_PERIOD = Duration.ofMillis(250);

  private static final Duration DRAIN_PERIOD = Duration.ofMillis(50);

  /** The owner's replies to requests read just before the end come within this time. */
  private static final Duration LAST_REPLIES = Duration.ofMillis(150);

  /** Many callers connect at once after an outage. */
  private static final int ACCEPT_BACKLOG = 1_024;

  private static final int OK = 200;
  private static final int TIMED_OUT = 408;
  private static final int UNAVAILABLE = 503;

  private final Vertx vertx;
  private final Context traffic;
  private final TimerService timers;
  private final BooleanSupplier ready;
  private final CallerConnections connections;
  private final RequestHandler handler;
  private boolean lookingForStalled;
  private boolean draining;
  private boolean closing;
  private long endsAtNanos;

  /**
   * Creates the server; called on the traffic thread.
   *
   * @param vertx runs the input and output
   * @param control the control thread
   * @param configuration judges requests
   * @param owner answers them
   * @param ready whether the balancer is to send new connections
   * @param wallMillis the time of day, milliseconds since 1970
   * @param log takes the events
   */
  public FrontServer(
      Vertx vertx,
      Context control,
      ConfigurationSource configuration,
      OwnerQuestions owner,
      BooleanSupplier ready,
      LongSupplier wallMillis,
      EventLog log) {
    this.vertx = vertx;
    this.traffic = vertx.getOrCreateContext();
    this.timers = new VertxTimerService(vertx, traffic);
    this.ready = ready;
    this.connections = new CallerConnections(timers);
    this.handler =
        new RequestHandler(traffic, control, configuration, owner, wallMillis, log, this::answer);
  }

  /**
   * Begins to listen; called on the traffic thread.
   *
   * @param front where callers connect
   * @param readiness where the balancer asks
   * @return done when both listen
   */
  public Future<HttpServer> listen(ServiceAddress front, ServiceAddress readiness) {
    HttpServer readyServer =
        vertx
            .createHttpServer()
            .requestHandler(
                request ->
                    request
                        .response()
                        .setStatusCode(ready.getAsBoolean() ? OK : UNAVAILABLE)
                        .end());
    // With the upgrade to HTTP/2, a connection is told of with its first request only, so that one
    // without a request could not be closed at the end.
    HttpServerOptions options =
        new HttpServerOptions().setAcceptBacklog(ACCEPT_BACKLOG).setHttp2ClearTextEnabled(false);
    HttpServer frontServer =
        vertx.createHttpServer(options).connectionHandler(this::opened).requestHandler(this::begin);
    // The balancer sends connections as soon as the instance is ready, so the front comes first.
    return frontServer
        .listen(front.port(), front.host())
        .compose(listening -> readyServer.listen(readiness.port(), readiness.host()));
  }

  /**
   * Begins to send callers elsewhere: each answer closes its connection, unused ones are closed by
   * and by, and no request waits longer than the process lives.
   *
   * <p>Failure: at the end of a graceful shutdown a request is still open. Symptom: the caller's
   * connection ends without an answer. Safeguard: requests are given up in time for their answer;
   * it is enough because a retry goes to another instance and finds the same submission.
   *
   * @param processEndsAtNanos when the process ends, as {@link System#nanoTime} tells
   * @return done when the balancer has noticed and no caller is connected
   */
  public Future<Void> drain(long processEndsAtNanos) {
    Promise<Void> gone = Promise.promise();
    traffic.runOnContext(
        none -> {
          endsAtNanos = processEndsAtNanos;
          draining = true;
          connections.countFromNow();
          new Drain(gone).begin();
        });
    return gone.future();
  }

  /** Sends the callers away, until none is left. */
  private final class Drain {

    private final Promise<Void> gone;
    private final long beganAt = timers.nowMillis();
    private TimerSubscription ticks = () -> {};

    Drain(Promise<Void> gone) {
      this.gone = gone;
    }

    void begin() {
      ticks = timers.every(DRAIN_PERIOD, this::tick);
    }

    private void tick() {
      long since = timers.nowMillis() - beganAt;
      connections.closeUnused(since);
      if (since >= DrainRule.NOTICE_MILLIS && connections.report().connections() == 0) {
        ticks.cancel();
        gone.tryComplete();
      }
    }
  }

  /**
   * Returns what has become of the callers.
   *
   * @return the counts, since {@link #drain} if that was called
   */
  public DrainReport report() {
    return connections.report();
  }

  /**
   * Ends to read, a moment before the process ends.
   *
   * <p>Failure: a caller keeps its connection through a graceful shutdown, and sends its next
   * request while the process ends, which takes a busy machine 0.3 s. Symptom: the request is read,
   * and its connection ends without an answer. Safeguard: each connection without a request is
   * closed at once, whatever the others do; a request that is not whole is refused; one that is
   * whole is answered, in the end with an unknown outcome. It is enough because all of this happens
   * on the thread that reads requests, and a request on a closed connection is not read, so the
   * caller may send it again elsewhere.
   *
   * @return done when no connection is open
   */
  public Future<Void> close() {
    Promise<Void> closed = Promise.promise();
    traffic.runOnContext(
        none -> {
          draining = true;
          closing = true;
          connections.closeAllUnused().onComplete(closed);
          refuseUnread();
          timers.after(LAST_REPLIES, this::giveUpOpen);
        });
    return closed.future();
  }

  private void refuseUnread() {
    connections.open().stream()
        .filter(exchange -> !exchange.whole())
        .forEach(handler::refuseUnread);
  }

  private void giveUpOpen() {
    connections.open().forEach(handler::outcomeUnknown);
  }

  private void opened(HttpConnection connection) {
    connections.opened(connection);
    if (closing) {
      connection.close();
    }
  }

  private void begin(HttpServerRequest request) {
    long wait = waitMillis(request);
    Exchange exchange = connections.begin(request, wait);
    BodyReader.read(
        exchange,
        new BodyReader.Outcome() {
          @Override
          public void whole() {
            bodyRead(exchange, wait);
          }

          @Override
          public void refused(int status, String text) {
            refuseBody(exchange, status, text);
          }
        });
    if (!exchange.whole()) {
      lookForStalled();
    }
  }

  private void bodyRead(Exchange exchange, long wait) {
    if (exchange.ended()) {
      return;
    }
    exchange.bodyEnded();
    if (closing) {
      handler.refuseUnread(exchange);
    } else {
      handler.handle(exchange, draining ? Math.min(wait, leftMillis()) : wait);
    }
  }

  /** What follows on the connection is the rest of the body, so it carries no other request. */
  private void refuseBody(Exchange exchange, int status, String text) {
    if (!exchange.ended()) {
      exchange.request().response().putHeader("Connection", "close");
      answer(exchange, status, text);
      exchange.connection().closeIfUnused();
    }
  }

  private void lookForStalled() {
    if (!lookingForStalled) {
      lookingForStalled = true;
      timers.after(STALL_PERIOD, this::refuseStalled);
    }
  }

  private void refuseStalled() {
    lookingForStalled = false;
    long now = timers.nowMillis();
    for (Exchange exchange : connections.open()) {
      if (exchange.stalled(now)) {
        refuseBody(
            exchange, TIMED_OUT, CallerProtocol.formatError("the body did not come in time"));
      } else if (!exchange.whole()) {
        lookForStalled();
      }
    }
  }

  private long waitMillis(HttpServerRequest request) {
    String text = request.getHeader(CallerProtocol.DEADLINE_HEADER);
    long wait = USUAL_WAIT_MILLIS;
    try {
      wait = text == null ? wait : Long.parseLong(text.trim());
    } catch (NumberFormatException error) {
      // A caller that says something else gets the usual time: its request is valid without it.
      wait = USUAL_WAIT_MILLIS;
    }
    return Math.max(SHORTEST_WAIT_MILLIS, wait - WAY_BACK_MILLIS);
  }

  private long leftMillis() {
    long left = TimeUnit.NANOSECONDS.toMillis(endsAtNanos - System.nanoTime());
    return Math.max(SHORTEST_WAIT_MILLIS, left - WAY_BACK_MILLIS);
  }

  private void answer(Exchange exchange, int status, String text) {
    if (!connections.end(exchange)) {
      return;
    }
    connections.countAnswer(status != RequestHandler.NO_OUTCOME);
    if (draining) {
      exchange.request().response().putHeader("Connection", "close");
    }
    Future<Void> written = exchange.write(status, text);
    if (draining) {
      // A request that was sent right behind this one is taken up first, and answered too.
      written.onComplete(done -> vertx.runOnContext(next -> exchange.connection().closeIfUnused()));
    }
  }
}
