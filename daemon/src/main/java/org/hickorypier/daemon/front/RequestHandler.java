package org.hickorypier.daemon.front;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.owner.ConfigurationSource;
import org.hickorypier.platform.intake.CallerProtocol;
import org.hickorypier.platform.intake.SubmissionDecoder;
import org.hickorypier.wire.UndecodableException;

/**
 * Judges whole requests, asks the owner, and turns its replies into answers.
 *
 * <p>Belongs to the traffic thread; the owner is asked on the control thread.
 */
final class RequestHandler {

  private static final String PART = "front";
  private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_ALLOWED = 405;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;
  static final int NO_OUTCOME = 504;
  private static final long SECOND_MILLIS = 1_000;

  private final Context traffic;
  private final Context control;
  private final ConfigurationSource configuration;
  private final OwnerQuestions owner;
  private final LongSupplier wallMillis;
  private final EventLog log;
  private final Answers answers;

  /** Where answers go. */
  @FunctionalInterface
  interface Answers {

    /**
     * Answers a request, unless that has ended.
     *
     * @param status the status, whose class tells whether the outcome is known
     * @param text the body
     */
    void answer(Exchange exchange, int status, String text);
  }

  RequestHandler(
      Context traffic,
      Context control,
      ConfigurationSource configuration,
      OwnerQuestions owner,
      LongSupplier wallMillis,
      EventLog log,
      Answers answers) {
    this.traffic = traffic;
    this.control = control;
    this.configuration = configuration;
    this.owner = owner;
    this.wallMillis = wallMillis;
    this.log = log;
    this.answers = answers;
  }

  /**
   * Handles a whole request.
   *
   * @param waitMillis how long its caller waits, in milliseconds
   */
  void handle(Exchange exchange, long waitMillis) {
    HttpServerRequest request = exchange.request();
    Judgement judgement = judge(request);
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
      refuse(exchange, judgement.status(), judgement.reason(), SECOND_MILLIS);
      return;
    }
    String id = request.path().substring(judgement.route().prefix().length());
    if (id.isEmpty() && request.method() == HttpMethod.GET) {
      ask(exchange, new LinkRequest.Count(judgement.route().terms().name()), id, waitMillis);
    } else if (!ID.matcher(id).matches()) {
      answers.answer(
          exchange,
          BAD_REQUEST,
          CallerProtocol.formatError("the id is " + id + ", wanted are 16 hexadecimal digits"));
    } else if (request.method() == HttpMethod.POST) {
      submit(exchange, judgement, id, waitMillis);
    } else if (request.method() == HttpMethod.GET) {
      ask(exchange, new LinkRequest.Inquire(id, judgement.customer()), id, waitMillis);
    } else if (request.method() == HttpMethod.DELETE) {
      ask(exchange, new LinkRequest.Cancel(id, judgement.customer()), id, waitMillis);
    } else {
      answers.answer(
          exchange, NOT_ALLOWED, CallerProtocol.formatError("the method is " + request.method()));
    }
  }

  private Judgement judge(HttpServerRequest request) {
    String host = request.getHeader("Host");
    return Judgement.of(
        configuration.current(),
        configuration.isProven(),
        host == null ? "" : host,
        request.path(),
        request.getHeader("Authorization"));
  }

  private void submit(Exchange exchange, Judgement judgement, String id, long waitMillis) {
    SubmissionSpec spec;
    try {
      spec =
          SubmissionDecoder.decode(
              id,
              judgement.customer(),
              judgement.route().terms(),
              exchange.body(),
              wallMillis.getAsLong());
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
      answers.answer(exchange, BAD_REQUEST, CallerProtocol.formatError(error.getMessage()));
      return;
    }
    exchange.asksToSubmit();
    ask(exchange, new LinkRequest.Submit(spec), id, waitMillis);
  }

  private void ask(Exchange exchange, LinkRequest question, String id, long waitMillis) {
    Promise<LinkReply> reply = Promise.promise();
    reply
        .future()
        .onComplete(
            value -> deliver(exchange, value, id), error -> questionFailed(exchange, id, error));
    control.runOnContext(
        none ->
            Future.succeededFuture()
                .compose(begun -> owner.ask(question, waitMillis))
                .onComplete(outcome -> traffic.runOnContext(back -> reply.handle(outcome))));
  }

  /**
   * Failure: bringing a question to the owner fails in this process. Symptom: the caller waits in
   * vain. Safeguard: it is told at once that the outcome is unknown; that is enough since it may
   * ask for its submission, or send it again, elsewhere.
   */
  private void questionFailed(Exchange exchange, String id, Throwable error) {
    log.event(PART, "question-failed", "id", id, "error", error);
    outcomeUnknown(exchange);
  }

  private void deliver(Exchange exchange, LinkReply reply, String id) {
    if (reply instanceof LinkReply.Accepted) {
      answers.answer(exchange, OK, "{}");
    } else if (reply instanceof LinkReply.State state) {
      answers.answer(exchange, OK, CallerProtocol.formatState(state.state()));
    } else if (reply instanceof LinkReply.Number number) {
      answers.answer(exchange, OK, CallerProtocol.formatWaitingCount(number.number()));
    } else if (reply instanceof LinkReply.NotKnown) {
      answers.answer(exchange, GONE, CallerProtocol.formatError("no such submission"));
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
      log.event(PART, "no-outcome", "id", id, "submission", exchange.submits());
      outcomeUnknown(exchange);
    }
  }

  /** A refusal would promise that a submission never runs, and it may have been taken. */
  void outcomeUnknown(Exchange exchange) {
    int status = exchange.submits() ? NO_OUTCOME : UNAVAILABLE;
    refuse(exchange, status, "the outcome is not known yet", SECOND_MILLIS);
  }

  /** Tells the caller of a request that was not read whole to come back elsewhere. */
  void refuseUnread(Exchange exchange) {
    refuse(exchange, UNAVAILABLE, "this instance ends", SECOND_MILLIS);
  }

  private void refuse(Exchange exchange, int status, String reason, long retryMillis) {
    if (status >= UNAVAILABLE && !exchange.ended()) {
      long seconds = Math.max(1, retryMillis / SECOND_MILLIS);
      exchange.request().response().putHeader("Retry-After", Long.toString(seconds));
    }
    answers.answer(exchange, status, CallerProtocol.formatError(reason));
  }
}
