package org.hickorypier.daemon.caller;

import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.daemon.caller.CallerGateway.JobView;
import org.hickorypier.daemon.work.WorkResult;

/**
 * The HTTP interface for callers.
 *
 * <p>Thread-safe: it holds no mutable state and runs on the event loops.
 */
public final class CallerApi {

  /** The response header that carries the outcome of every request. */
  public static final String OUTCOME_HEADER = "Hickory-Outcome";

  private static final List<WorkClass> REQUEST_CLASSES =
      List.of(WorkClass.REQUEST, WorkClass.URGENT);
  private static final List<WorkClass> JOB_CLASSES =
      List.of(WorkClass.BATCH, WorkClass.GANG, WorkClass.SERVICE);
  private static final String BEARER = "Bearer ";

  /** A takeover, after which the outcome of lost work may be known, takes some seconds. */
  private static final String UNKNOWN_RETRY_AFTER_SECONDS = "2";

  private static final int STATUS_GONE = 410;
  private static final int STATUS_FAILED = 502;
  private static final int STATUS_UNKNOWN = 504;

  private final CallerGateway gateway;
  private final CallerRequestParser parser;
  private final long bodyLimitBytes;
  private final long bodyTimeoutMillis;

  /**
   * Creates the interface.
   *
   * @param gateway the services of the daemon that the interface calls
   * @param parser parses the request bodies
   * @param bodyLimitBytes the largest accepted body in bytes
   * @param bodyTimeoutMillis the time in milliseconds within which a caller must send its body
   */
  public CallerApi(
      CallerGateway gateway,
      CallerRequestParser parser,
      long bodyLimitBytes,
      long bodyTimeoutMillis) {
    this.gateway = gateway;
    this.parser = parser;
    this.bodyLimitBytes = bodyLimitBytes;
    this.bodyTimeoutMillis = bodyTimeoutMillis;
  }

  /**
   * Adds the routes of this interface.
   *
   * @param router the router to which the routes are added
   */
  public void mount(Router router) {
    router.route("/v1/requests").handler(new BodyTimeoutHandler(bodyTimeoutMillis));
    router.route("/v1/jobs").handler(new BodyTimeoutHandler(bodyTimeoutMillis));
    router.post("/v1/requests").handler(bodyHandler()).handler(this::run);
    router.post("/v1/jobs").handler(bodyHandler()).handler(this::accept);
    router.get("/v1/jobs/:requestId").handler(context -> callForJob(context, gateway::find));
    router.delete("/v1/jobs/:requestId").handler(context -> callForJob(context, gateway::cancel));
    router.errorHandler(
        413,
        context ->
            writeError(
                context.response(),
                Outcome.NOT_RUN,
                413,
                "the body is larger than " + bodyLimitBytes + " bytes",
                0));
  }

  private BodyHandler bodyHandler() {
    return BodyHandler.create(false).setBodyLimit(bodyLimitBytes);
  }

  private void run(RoutingContext context) {
    parseAndCall(
        context,
        REQUEST_CLASSES,
        request -> gateway.run(presentedKey(context), request),
        result -> writeResult(context.response(), result));
  }

  private void accept(RoutingContext context) {
    parseAndCall(
        context,
        JOB_CLASSES,
        request -> gateway.accept(presentedKey(context), request),
        view -> writeJob(context.response(), 202, view));
  }

  private <T> void parseAndCall(
      RoutingContext context,
      List<WorkClass> classes,
      Function<CallerRequest, Uni<T>> call,
      java.util.function.Consumer<T> answered) {
    Buffer body = context.body().buffer();
    try {
      CallerRequest request = parser.parse(body == null ? new byte[0] : body.getBytes(), classes);
      call.apply(request).subscribe().with(answered, failure -> writeFailure(context, failure));
    } catch (BadRequestException error) {
      writeError(context.response(), Outcome.NOT_RUN, 400, error.getMessage(), 0);
    }
  }

  private void callForJob(RoutingContext context, JobCall call) {
    call.apply(presentedKey(context), context.pathParam("requestId"))
        .subscribe()
        .with(
            view -> writeJob(context.response(), 200, view),
            failure -> writeFailure(context, failure));
  }

  private void writeFailure(RoutingContext context, Throwable failure) {
    if (failure instanceof DeniedException denied) {
      writeError(
          context.response(),
          denied.kind().outcome(),
          denied.kind().status(),
          denied.getMessage(),
          denied.retryAfterMillis());
    } else {
      putOutcomeHeader(context.response(), Outcome.UNKNOWN);
      end(context.response(), STATUS_UNKNOWN, errorBody("internal error: " + failure.getMessage()));
    }
  }

  private void writeResult(HttpServerResponse response, WorkResult result) {
    if (result.refusal().isPresent()) {
      writeRefusal(response, result.outcome(), result.refusal().get());
      return;
    }
    WorkResult.Answered answered = (WorkResult.Answered) result;
    putOutcomeHeader(response, answered.outcome());
    boolean isBodyLost = answered.body().length == 0 && !answered.detail().isEmpty();
    if (answered.outcome() == Outcome.COMPLETED && isBodyLost) {
      end(response, STATUS_GONE, errorBody(answered.detail()));
    } else if (answered.outcome() == Outcome.COMPLETED) {
      end(response, 200, Buffer.buffer(answered.body()));
    } else {
      int status = answered.outcome() == Outcome.FAILED ? STATUS_FAILED : STATUS_UNKNOWN;
      if (answered.outcome() == Outcome.UNKNOWN) {
        response.putHeader("Retry-After", UNKNOWN_RETRY_AFTER_SECONDS);
      }
      boolean hasBody = answered.body().length > 0;
      end(
          response,
          status,
          hasBody ? Buffer.buffer(answered.body()) : errorBody(answered.detail()));
    }
  }

  private static void writeRefusal(HttpServerResponse response, Outcome outcome, Refusal refusal) {
    DeniedException denied = DeniedException.of(refusal);
    response.putHeader("Hickory-Reason", refusal.reason().name().toLowerCase(Locale.ROOT));
    int status = outcome == Outcome.UNKNOWN ? STATUS_UNKNOWN : denied.kind().status();
    writeError(response, outcome, status, refusal.detail(), refusal.retryAfterMillis());
  }

  private static void writeJob(HttpServerResponse response, int status, JobView view) {
    response.putHeader("Content-Type", "application/json");
    JsonObject body =
        new JsonObject()
            .put("team", view.key().team())
            .put("requestId", view.key().requestId())
            .put("state", view.state())
            .put("detail", view.detail())
            .put("acceptedAtOffset", view.offset());
    end(response, status, body.toBuffer().appendString("\n"));
  }

  private static void writeError(
      HttpServerResponse response,
      Outcome outcome,
      int status,
      String message,
      long retryAfterMillis) {
    putOutcomeHeader(response, outcome);
    if (retryAfterMillis > 0) {
      long seconds = Math.max(1, (retryAfterMillis + 999) / 1_000);
      response.putHeader("Retry-After", Long.toString(seconds));
    }
    end(response, status, errorBody(message));
  }

  private static Buffer errorBody(String text) {
    return new JsonObject().put("error", text).toBuffer().appendString("\n");
  }

  private static void putOutcomeHeader(HttpServerResponse response, Outcome outcome) {
    if (!response.ended() && !response.closed()) {
      response.putHeader(OUTCOME_HEADER, outcome.text());
    }
  }

  private static void end(HttpServerResponse response, int status, Buffer body) {
    if (!response.ended() && !response.closed()) {
      response.setStatusCode(status).end(body);
    }
  }

  private static String presentedKey(RoutingContext context) {
    String header = context.request().getHeader("Authorization");
    return header != null && header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
  }

  @FunctionalInterface
  private interface JobCall {
    Uni<JobView> apply(String presentedKey, String requestId);
  }
}
