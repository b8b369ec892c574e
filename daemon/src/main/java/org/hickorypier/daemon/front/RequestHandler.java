package org.hickorypier.daemon.front;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.owner.ConfigurationSource;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.intake.CallerProtocol;
import org.hickorypier.platform.intake.SubmissionDecoder;
import org.hickorypier.wire.UndecodableException;

/**
 * Decides the access of complete requests, forwards them to the owner, and turns its replies into
 * answers.
 *
 * <p>Confined to the traffic thread; requests to the owner are sent on the control thread.
 */
final class RequestHandler {

  private static final String PART = "front";
  private static final Pattern ID_PATTERN = Pattern.compile("[0-9a-fA-F]{16}");

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;
  static final int OUTCOME_UNKNOWN = 504;
  private static final long MILLIS_PER_SECOND = 1_000;

  /** A process that has just started reads the configuration within this time. */
  private static final long MAX_CONFIGURATION_WAIT_MILLIS = 1_000;

  private static final long CONFIGURATION_CHECK_MILLIS = 20;

  private final Context traffic;
  private final Context control;
  private final TimerService timers;
  private final ConfigurationSource configuration;
  private final OwnerClient owner;
  private final LongSupplier wallMillis;
  private final EventLog log;
  private final ConnectionGuard guard;
  private final AnswerWriter answerWriter;

  /** Writes answers to callers. */
  @FunctionalInterface
  interface AnswerWriter {

    /**
     * Answers a request, unless its exchange has ended.
     *
     * @param status the HTTP status; {@link RequestHandler#OUTCOME_UNKNOWN} if it is not known
     *     whether a submission was accepted
     * @param text the body
     */
    void answer(Exchange exchange, int status, String text);
  }

  RequestHandler(
      Context traffic,
      Context control,
      TimerService timers,
      ConfigurationSource configuration,
      OwnerClient owner,
      LongSupplier wallMillis,
      EventLog log,
      ConnectionGuard guard,
      AnswerWriter answerWriter) {
    this.traffic = traffic;
    this.control = control;
    this.timers = timers;
    this.configuration = configuration;
    this.owner = owner;
    this.wallMillis = wallMillis;
    this.log = log;
    this.guard = guard;
    this.answerWriter = answerWriter;
  }

  /**
   * Handles a request whose body is complete.
   *
   * @param waitMillis how long the caller waits, in milliseconds
   */
  void handle(Exchange exchange, long waitMillis) {
    handle(exchange, waitMillis, Math.min(MAX_CONFIGURATION_WAIT_MILLIS, waitMillis / 2));
  }

  /**
   * Handles a request, after a wait if this instance has just started and has no configuration yet.
   *
   * @param configurationWaitMillis how long the request may still wait for one, in milliseconds
   */
  private void handle(Exchange exchange, long waitMillis, long configurationWaitMillis) {
    if (configuration.current() == null && configurationWaitMillis > 0) {
      timers.after(
          Duration.ofMillis(CONFIGURATION_CHECK_MILLIS),
          () ->
              handle(
                  exchange,
                  waitMillis - CONFIGURATION_CHECK_MILLIS,
                  configurationWaitMillis - CONFIGURATION_CHECK_MILLIS));
      return;
    }
    HttpServerRequest request = exchange.request();
    AccessDecision decision = decideAccess(request);
    if (!decision.isAllowed()) {
      log.event(
          PART,
          "refused",
          "method",
          request.method().name(),
          "path",
          request.path(),
          "status",
          decision.status(),
          "reason",
          decision.reason(),
          "version",
          decision.version());
      refuse(exchange, decision.status(), decision.reason(), MILLIS_PER_SECOND);
      return;
    }
    String id = request.path().substring(decision.route().prefix().length());
    if (id.isEmpty() && request.method() == HttpMethod.GET) {
      sendToOwner(exchange, new LinkRequest.Count(decision.route().terms().name()), id, waitMillis);
    } else if (!ID_PATTERN.matcher(id).matches()) {
      answerWriter.answer(
          exchange,
          BAD_REQUEST,
          CallerProtocol.formatError("the id is " + id + ", wanted are 16 hexadecimal digits"));
    } else if (request.method() == HttpMethod.POST) {
      submit(exchange, decision, id, waitMillis);
    } else if (request.method() == HttpMethod.GET) {
      sendToOwner(exchange, new LinkRequest.Inquire(id, decision.customer()), id, waitMillis);
    } else if (request.method() == HttpMethod.DELETE) {
      sendToOwner(exchange, new LinkRequest.Cancel(id, decision.customer()), id, waitMillis);
    } else {
      answerWriter.answer(
          exchange,
          METHOD_NOT_ALLOWED,
          CallerProtocol.formatError("the method is " + request.method()));
    }
  }

  private AccessDecision decideAccess(HttpServerRequest request) {
    String host = request.getHeader("Host");
    return AccessDecision.decide(
        configuration.current(),
        configuration.isProven(),
        host == null ? "" : host,
        request.path(),
        request.getHeader("Authorization"));
  }

  private void submit(Exchange exchange, AccessDecision decision, String id, long waitMillis) {
    SubmissionSpec spec;
    try {
      spec =
          SubmissionDecoder.decode(
              id,
              decision.customer(),
              decision.route().terms(),
              exchange.body(),
              wallMillis.getAsLong());
    } catch (UndecodableException error) {
      log.event(
          PART,
          "refused",
          "id",
          id,
          "customer",
          decision.customer(),
          "status",
          BAD_REQUEST,
          "reason",
          error.getMessage());
      answerWriter.answer(exchange, BAD_REQUEST, CallerProtocol.formatError(error.getMessage()));
      return;
    }
    exchange.markSubmission();
    exchange.dropBody();
    sendToOwner(exchange, new LinkRequest.Submit(spec), id, waitMillis);
  }

  private void sendToOwner(Exchange exchange, LinkRequest request, String id, long waitMillis) {
    Promise<LinkReply> reply = Promise.promise();
    GuardedConnection guarded = exchange.connection().guarded();
    guarded.recordPassedOn();
    reply
        .future()
        .onComplete(
            outcome -> {
              guarded.recordReply();
              guard.update(guarded);
            })
        .onComplete(
            value -> answerFromReply(exchange, value, id),
            error -> handleOwnerFailure(exchange, id, error));
    control.runOnContext(
        ignored ->
            Future.succeededFuture()
                .compose(begun -> owner.sendRequest(request, waitMillis))
                .onComplete(outcome -> traffic.runOnContext(back -> reply.handle(outcome))));
  }

  /**
   * Answers at once that the outcome is unknown if sending the request to the owner fails within
   * this process, since the caller would otherwise wait in vain. The caller may query its
   * submission or send it again through another instance.
   */
  private void handleOwnerFailure(Exchange exchange, String id, Throwable error) {
    log.event(PART, "question-failed", "id", id, "error", error);
    answerOutcomeUnknown(exchange);
  }

  private void answerFromReply(Exchange exchange, LinkReply reply, String id) {
    if (reply instanceof LinkReply.Accepted) {
      answerWriter.answer(exchange, OK, "{}");
    } else if (reply instanceof LinkReply.State state) {
      answerWriter.answer(exchange, OK, CallerProtocol.formatState(state.state()));
    } else if (reply instanceof LinkReply.Number number) {
      answerWriter.answer(exchange, OK, CallerProtocol.formatWaitingCount(number.number()));
    } else if (reply instanceof LinkReply.NotKnown) {
      answerWriter.answer(exchange, GONE, CallerProtocol.formatError("no such submission"));
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
      refuse(exchange, UNAVAILABLE, refused.reason(), refused.retryAfterMillis());
    } else {
      log.event(PART, "no-outcome", "id", id, "submission", exchange.isSubmission());
      answerOutcomeUnknown(exchange);
    }
  }

  /**
   * Answers a submission with {@link #OUTCOME_UNKNOWN} and any other request with 503. A refusal
   * would guarantee that a submission never runs, although it may have been accepted.
   */
  void answerOutcomeUnknown(Exchange exchange) {
    int status = exchange.isSubmission() ? OUTCOME_UNKNOWN : UNAVAILABLE;
    refuse(exchange, status, "the outcome is not known yet", MILLIS_PER_SECOND);
  }

  /**
   * Refuses a request that was not read completely; its caller may retry at another instance.
   *
   * @param reason why it is refused
   */
  void refuseIncomplete(Exchange exchange, String reason) {
    refuse(exchange, UNAVAILABLE, reason, MILLIS_PER_SECOND);
  }

  private void refuse(Exchange exchange, int status, String reason, long retryMillis) {
    if (status >= UNAVAILABLE && !exchange.isEnded()) {
      long seconds = Math.max(1, retryMillis / MILLIS_PER_SECOND);
      exchange.request().response().putHeader("Retry-After", Long.toString(seconds));
    }
    answerWriter.answer(exchange, status, CallerProtocol.formatError(reason));
  }
}
