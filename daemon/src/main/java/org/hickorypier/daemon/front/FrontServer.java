package org.hickorypier.daemon.front;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.owner.ConfigurationWatch;
import org.hickorypier.daemon.owner.Gateway;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.intake.CallerWords;
import org.hickorypier.platform.intake.SubmissionDecoder;
import org.hickorypier.wire.UndecodableException;

/**
 * Serves callers and the balancer's readiness checks.
 *
 * <p>Belongs to the traffic thread; the gateway is called on the control thread.
 */
public final class FrontServer {

  private static final String PART = "front";
  private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");

  /** How long a caller is taken to wait that does not say so. */
  private static final long USUAL_WAIT_MILLIS = 3_000;

  /** Covers the way back to the caller, so that it gets an answer before it leaves. */
  private static final long WAY_BACK_MILLIS = 120;

  private static final long SHORTEST_WAIT_MILLIS = 20;
  private static final int MOST_BODY_BYTES = 262_144;

  /** Requests that are open at the end are given up within some 20 ms each. */
  private static final long CLOSE_AGAIN_MILLIS = 5;

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_ALLOWED = 405;
  private static final int GONE = 410;
  private static final int TOO_LARGE = 413;
  private static final int UNAVAILABLE = 503;
  private static final int NO_OUTCOME = 504;
  private static final long SECOND_MILLIS = 1_000;

  private final Vertx vertx;
  private final Context control;
  private final ConfigurationWatch configuration;
  private final Gateway gateway;
  private final BooleanSupplier ready;
  private final LongSupplier wallMillis;
  private final EventLog log;
  private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile int openRequests;
  private volatile boolean closing;
  private volatile boolean draining;
  private volatile long endsAtNanos;

  /**
   * Creates the server.
   *
   * @param vertx runs the input and output
   * @param control the control thread
   * @param configuration judges requests
   * @param gateway brings them to the owner
   * @param ready whether the balancer is to send new connections
   * @param wallMillis the time of day, milliseconds since 1970
   * @param log takes the events
   */
  public FrontServer(
      Vertx vertx,
      Context control,
      ConfigurationWatch configuration,
      Gateway gateway,
      BooleanSupplier ready,
      LongSupplier wallMillis,
      EventLog log) {
    this.vertx = vertx;
    this.control = control;
    this.configuration = configuration;
    this.gateway = gateway;
    this.ready = ready;
    this.wallMillis = wallMillis;
    this.log = log;
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
    HttpServer frontServer =
        vertx
            .createHttpServer(new HttpServerOptions().setAcceptBacklog(1_024))
            .connectionHandler(
                connection -> {
                  connections.add(connection);
                  connection.closeHandler(none -> connections.remove(connection));
                  if (closing) {
                    connection.close();
                  }
                })
            .requestHandler(this::handle);
    // The balancer sends connections as soon as the instance is ready, so the front comes first.
    return frontServer
        .listen(front.port(), front.host())
        .compose(listening -> readyServer.listen(readiness.port(), readiness.host()));
  }

  /**
   * Begins to send callers elsewhere: each answer closes its connection, and no request waits
   * longer than the process lives.
   *
   * <p>Failure: at the end of a graceful shutdown a request is still open. Symptom: the caller's
   * connection ends without an answer. Safeguard: requests are given up in time for their answer;
   * it is enough because a retry goes to another instance and finds the same submission.
   *
   * @param endsAtNanos when the process ends, as {@link System#nanoTime} tells
   */
  public void drain(long endsAtNanos) {
    this.endsAtNanos = endsAtNanos;
    this.draining = true;
  }

  /**
   * Tells whether callers are connected or waiting.
   *
   * @return true while the process should go on
   */
  public boolean busy() {
    return !connections.isEmpty() || openRequests > 0;
  }

  /**
   * Ends to read, a moment before the process ends.
   *
   * <p>Failure: a caller keeps its connection through a graceful shutdown, and sends its next
   * request while the process ends, which takes a busy machine 0.3 s. Symptom: the request is read,
   * and its connection ends without an answer. Safeguard: what is read by now is answered, and
   * every connection without a request is closed before the process ends. It is enough because a
   * request on a closed connection is not read, so the caller may send it again elsewhere.
   *
   * @return done when no connection is open, at the latest when the open requests' time is over
   */
  public Future<Void> close() {
    closing = true;
    Promise<Void> closed = Promise.promise();
    vertx.runOnContext(none -> closeIdle(closed));
    return closed.future();
  }

  private void closeIdle(Promise<Void> closed) {
    if (openRequests > 0) {
      vertx.setTimer(CLOSE_AGAIN_MILLIS, id -> closeIdle(closed));
      return;
    }
    List<Future<?>> ends = new ArrayList<>();
    connections.forEach(connection -> ends.add(connection.close()));
    if (ends.isEmpty()) {
      closed.tryComplete();
    } else {
      Future.join(ends).onComplete(done -> closed.tryComplete());
    }
  }

  private void handle(HttpServerRequest request) {
    openRequests++;
    request.response().closeHandler(none -> {});
    String length = request.getHeader("Content-Length");
    if (length != null && length.length() > 9
        || length != null && Long.parseLong(length) > MOST_BODY_BYTES) {
      answer(
          request,
          TOO_LARGE,
          CallerWords.error("the body has " + length + " bytes, allowed are " + MOST_BODY_BYTES));
      return;
    }
    request.body().onComplete(body -> judge(request, body), error -> openRequests--);
  }

  private void judge(HttpServerRequest request, Buffer body) {
    String host = request.getHeader("Host");
    Judgement judgement =
        Judgement.of(
            configuration.current(),
            configuration.proven(),
            host == null ? "" : host,
            request.path(),
            request.getHeader("Authorization"));
    if (!judgement.mayGoOn()) {
      log.event(
          PART,
          "refused",
          "method",
          request.method().name(),
          "path",
          request.path(),
          "status",
          judgement.status(),
          "reason",
          judgement.reason(),
          "version",
          judgement.version());
      refuse(request, judgement.status(), judgement.reason(), SECOND_MILLIS);
      return;
    }
    String rest = request.path().substring(judgement.route().prefix().length());
    if (rest.isEmpty() && request.method() == HttpMethod.GET) {
      ask(request, new LinkRequest.Count(judgement.route().terms().name()), "");
    } else if (!ID.matcher(rest).matches()) {
      answer(
          request,
          BAD_REQUEST,
          CallerWords.error("the id is " + rest + ", wanted are 16 hexadecimal digits"));
    } else if (request.method() == HttpMethod.POST) {
      submit(request, judgement, rest, body);
    } else if (request.method() == HttpMethod.GET) {
      ask(request, new LinkRequest.Inquire(rest, judgement.customer()), rest);
    } else if (request.method() == HttpMethod.DELETE) {
      ask(request, new LinkRequest.Cancel(rest, judgement.customer()), rest);
    } else {
      answer(request, NOT_ALLOWED, CallerWords.error("the method is " + request.method()));
    }
  }

  private void submit(HttpServerRequest request, Judgement judgement, String id, Buffer body) {
    SubmissionSpec spec;
    try {
      spec =
          SubmissionDecoder.decode(
              id, judgement.customer(), judgement.route().terms(), body, wallMillis.getAsLong());
    } catch (UndecodableException error) {
      log.event(
          PART,
          "refused",
          "id",
          id,
          "customer",
          judgement.customer(),
          "status",
          BAD_REQUEST,
          "reason",
          error.getMessage());
      answer(request, BAD_REQUEST, CallerWords.error(error.getMessage()));
      return;
    }
    ask(request, new LinkRequest.Submit(spec), id);
  }

  private void ask(HttpServerRequest request, LinkRequest question, String id) {
    Context traffic = vertx.getOrCreateContext();
    long wait = waitMillis(request);
    Promise<LinkReply> reply = Promise.promise();
    reply.future().onSuccess(value -> deliver(request, question, value, id));
    control.runOnContext(
        none ->
            gateway
                .ask(question, wait)
                .onSuccess(value -> traffic.runOnContext(back -> reply.complete(value))));
  }

  private long waitMillis(HttpServerRequest request) {
    String text = request.getHeader(CallerWords.DEADLINE_HEADER);
    long wait = USUAL_WAIT_MILLIS;
    try {
      wait = text == null ? wait : Long.parseLong(text.trim());
    } catch (NumberFormatException error) {
      // A caller that says something else gets the usual time: its request is valid without it.
      wait = USUAL_WAIT_MILLIS;
    }
    if (draining) {
      long left = TimeUnit.NANOSECONDS.toMillis(endsAtNanos - System.nanoTime());
      wait = Math.min(wait, left);
    }
    return Math.max(SHORTEST_WAIT_MILLIS, wait - WAY_BACK_MILLIS);
  }

  private void deliver(
      HttpServerRequest request, LinkRequest question, LinkReply reply, String id) {
    if (reply instanceof LinkReply.Accepted) {
      answer(request, OK, "{}");
    } else if (reply instanceof LinkReply.State state) {
      answer(request, OK, CallerWords.state(state.state()));
    } else if (reply instanceof LinkReply.Number number) {
      answer(request, OK, CallerWords.waiting(number.number()));
    } else if (reply instanceof LinkReply.NotKnown) {
      answer(request, GONE, CallerWords.error("no such submission"));
    } else if (reply instanceof LinkReply.Refused refused) {
      log.event(
          PART,
          "refused",
          "id",
          id,
          "status",
          UNAVAILABLE,
          "reason",
          refused.reason(),
          "retry_after_ms",
          refused.retryAfterMillis());
      refuse(request, UNAVAILABLE, refused.reason(), refused.retryAfterMillis());
    } else {
      // Whether a submission was taken is not known: a refusal would promise that it never runs.
      boolean submission = question instanceof LinkRequest.Submit;
      log.event(PART, "no-outcome", "id", id, "request", question.getClass().getSimpleName());
      refuse(
          request,
          submission ? NO_OUTCOME : UNAVAILABLE,
          "the outcome is not known yet",
          SECOND_MILLIS);
    }
  }

  private void refuse(HttpServerRequest request, int status, String reason, long retryMillis) {
    if (status >= UNAVAILABLE) {
      long seconds = Math.max(1, retryMillis / SECOND_MILLIS);
      request.response().putHeader("Retry-After", Long.toString(seconds));
    }
    answer(request, status, CallerWords.error(reason));
  }

  private void answer(HttpServerRequest request, int status, String body) {
    openRequests--;
    if (draining) {
      request.response().putHeader("Connection", "close");
    }
    if (!request.response().closed()) {
      request
          .response()
          .setStatusCode(status)
          .putHeader("Content-Type", "application/json")
          .end(body);
    }
  }
}
