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
import org.hickorypier.platform.intake.CallerWords;
import org.hickorypier.platform.intake.SubmissionDecoder;
import org.hickorypier.wire.UndecodableException;

/**
 * Judges whole requests, asks the owner, and turns its replies into answers.
 *
 * <p>Belongs to the traffic thread; the owner is asked on the control thread.
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

  private final Context traffic;
  private final Context control;
  private final ConfigurationSource configuration;
  private final OwnerClient owner;
  private final LongSupplier wallMillis;
  private final EventLog log;
  private final AnswerWriter answerWriter;

  /** Where answers go. */
  @FunctionalInterface
  interface AnswerWriter {

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
      OwnerClient owner,
      LongSupplier wallMillis,
      EventLog log,
      AnswerWriter answers) {
    this.traffic = traffic;
    this.control = control;
    this.configuration = configuration;
    this.owner = owner;
    this.wallMillis = wallMillis;
    this.log = log;
    this.answerWriter = answers;
  }

  /**
   * Handles a whole request.
   *
   * @param waitMillis how long its caller waits, in milliseconds
   */
  void handle(Exchange exchange, long waitMillis) {
    HttpServerRequest request = exchange.request();
    AccessDecision judgement = decideAccess(request);
    if (!judgement.isAllowed()) {
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
      refuse(exchange, judgement.status(), judgement.reason(), MILLIS_PER_SECOND);
      return;
    }
    String id = request.path().substring(judgement.route().prefix().length());
    if (id.isEmpty() && request.method() == HttpMethod.GET) {
      sendToOwner(
          exchange, new LinkRequest.Count(judgement.route().terms().name()), id, waitMillis);
    } else if (!ID_PATTERN.matcher(id).matches()) {
      answerWriter.answer(
          exchange,
          BAD_REQUEST,
          CallerWords.error("the id is " + id + ", wanted are 16 hexadecimal digits"));
    } else if (request.method() == HttpMethod.POST) {
      submit(exchange, judgement, id, waitMillis);
    } else if (request.method() == HttpMethod.GET) {
      sendToOwner(exchange, new LinkRequest.Inquire(id, judgement.customer()), id, waitMillis);
    } else if (request.method() == HttpMethod.DELETE) {
      sendToOwner(exchange, new LinkRequest.Cancel(id, judgement.customer()), id, waitMillis);
    } else {
      answerWriter.answer(
          exchange, METHOD_NOT_ALLOWED, CallerWords.error("the method is " + request.method()));
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

  private void submit(Exchange exchange, AccessDecision judgement, String id, long waitMillis) {
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
      answerWriter.answer(exchange, BAD_REQUEST, CallerWords.error(error.getMessage()));
      return;
    }
    exchange.markSubmission();
    sendToOwner(exchange, new LinkRequest.Submit(spec), id, waitMillis);
  }

  private void sendToOwner(Exchange exchange, LinkRequest question, String id, long waitMillis) {
    Promise<LinkReply> reply = Promise.promise();
    reply
        .future()
        .onComplete(
            value -> answerFromReply(exchange, value, id),
            error -> handleOwnerFailure(exchange, id, error));
    control.runOnContext(
        none ->
            Future.succeededFuture()
                .compose(begun -> owner.sendRequest(question, waitMillis))
                .onComplete(outcome -> traffic.runOnContext(back -> reply.handle(outcome))));
  }

  /**
   * Failure: bringing a question to the owner fails in this process. Symptom: the caller waits in
   * vain. Safeguard: it is told at once that the outcome is unknown; that is enough since it may
   * ask for its submission, or send it again, elsewhere.
   */
  private void handleOwnerFailure(Exchange exchange, String id, Throwable error) {
    log.event(PART, "question-failed", "id", id, "error", error);
    answerOutcomeUnknown(exchange);
  }

  private void answerFromReply(Exchange exchange, LinkReply reply, String id) {
    if (reply instanceof LinkReply.Accepted) {
      answerWriter.answer(exchange, OK, "{}");
    } else if (reply instanceof LinkReply.State state) {
      answerWriter.answer(exchange, OK, CallerWords.state(state.state()));
    } else if (reply instanceof LinkReply.Number number) {
      answerWriter.answer(exchange, OK, CallerWords.waiting(number.number()));
    } else if (reply instanceof LinkReply.NotKnown) {
      answerWriter.answer(exchange, GONE, CallerWords.error("no such submission"));
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

  /** A refusal would promise that a submission never runs, and it may have been taken. */
  void answerOutcomeUnknown(Exchange exchange) {
    int status = exchange.isSubmission() ? OUTCOME_UNKNOWN : UNAVAILABLE;
    refuse(exchange, status, "the outcome is not known yet", MILLIS_PER_SECOND);
  }

  /** Tells the caller of a request that was not read whole to come back elsewhere. */
  void refuseIncomplete(Exchange exchange) {
    refuse(exchange, UNAVAILABLE, "this instance ends", MILLIS_PER_SECOND);
  }

  private void refuse(Exchange exchange, int status, String reason, long retryMillis) {
    if (status >= UNAVAILABLE && !exchange.isEnded()) {
      long seconds = Math.max(1, retryMillis / MILLIS_PER_SECOND);
      exchange.request().response().putHeader("Retry-After", Long.toString(seconds));
    }
    answerWriter.answer(exchange, status, CallerWords.error(reason));
  }
}
