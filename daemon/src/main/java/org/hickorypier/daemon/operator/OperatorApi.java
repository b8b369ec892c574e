package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.hickorypier.daemon.caller.BodyTimeoutHandler;
import org.hickorypier.language.Statement;
import org.hickorypier.language.StatementParser;
import org.hickorypier.language.StatementPrinter;
import org.hickorypier.language.StatementSyntaxException;
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResult.Problem;
import org.hickorypier.language.result.StatementResultCodec;

/**
 * The HTTP interface for operators.
 *
 * <p>Thread safe: its handlers run on the event loops and hand over to the control thread.
 */
public final class OperatorApi {

  /** The path of statements. */
  public static final String STATEMENTS_PATH = "/v1/operator/statements";

  /** The path of the progress of changes. */
  public static final String CHANGES_PATH = "/v1/operator/changes/:offset";

  /** The header with the id under which a change takes effect once. */
  public static final String CHANGE_ID_HEADER = "Hickory-Change-Id";

  private static final Logger LOGGER = System.getLogger(OperatorApi.class.getName());
  private static final String BEARER = "Bearer ";

  /** A character of a statement takes four bytes at the most. */
  private static final long BODY_LIMIT = 4L * StatementParser.LONGEST_STATEMENT;

  private final StatementExecutor executor;
  private final OperatorAuthenticator authenticator;
  private final Supplier<Optional<String>> obstacle;
  private final Executor control;
  private final long senderMillis;
  private final StatementParser parser = new StatementParser();
  private final StatementPrinter printer = new StatementPrinter();
  private final StatementResultCodec codec = new StatementResultCodec();

  /**
   * Creates the interface.
   *
   * @param executor carries out statements
   * @param authenticator tells operators from others
   * @param obstacle why this instance takes no statements, empty if it does; with an old
   *     configuration neither keys nor answers could be trusted. Called on the control thread
   * @param control runs tasks on the control thread
   * @param senderMillis how long an operator's client may take to send a statement
   */
  public OperatorApi(
      StatementExecutor executor,
      OperatorAuthenticator authenticator,
      Supplier<Optional<String>> obstacle,
      Executor control,
      long senderMillis) {
    this.executor = executor;
    this.authenticator = authenticator;
    this.obstacle = obstacle;
    this.control = control;
    this.senderMillis = senderMillis;
  }

  /**
   * Adds the routes.
   *
   * @param router the router to add to
   */
  public void mount(Router router) {
    router.post(STATEMENTS_PATH).handler(new BodyTimeoutHandler(senderMillis));
    router
        .post(STATEMENTS_PATH)
        .handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT))
        .handler(context -> control.execute(() -> authenticated(context, this::statement)))
        .failureHandler(this::refuseBody);
    router
        .get(CHANGES_PATH)
        .handler(context -> control.execute(() -> authenticated(context, this::change)));
  }

  private void authenticated(RoutingContext context, Call call) {
    Optional<String> reason = obstacle.get();
    if (reason.isPresent()) {
      answer(context, OperatorFailureKind.NOT_DONE.status(), problem(reason.get()));
    } else if (!authenticator.isOperator(key(context))) {
      answer(context, 401, problem("no operator's key in force"));
    } else {
      call.run(context)
          .subscribe()
          .with(result -> answer(context, status(result), result), error -> fail(context, error));
    }
  }

  private Uni<StatementResult> statement(RoutingContext context) {
    Optional<String> changeId = Optional.ofNullable(context.request().getHeader(CHANGE_ID_HEADER));
    if (changeId.isPresent() && !ChangeId.isUsable(changeId.get())) {
      return Uni.createFrom()
          .item(problem(CHANGE_ID_HEADER + ": not 1 to 64 letters, digits and -"));
    }
    String text = context.body().asString(StandardCharsets.UTF_8.name());
    try {
      Statement statement = parser.parse(text == null ? "" : text);
      if (statement instanceof Statement.Change) {
        String printed = printer.print(statement);
        LOGGER.log(Level.INFO, "operator: key {0}: {1}", keyId(context), printed);
      }
      return executor.execute(statement, changeId);
    } catch (StatementSyntaxException error) {
      return Uni.createFrom().item(new Problem(error.getMessage(), error.column()));
    }
  }

  private Uni<StatementResult> change(RoutingContext context) {
    try {
      long offset = Long.parseLong(context.pathParam("offset"));
      if (offset >= 0) {
        return Uni.createFrom().item(executor.progressOf(offset));
      }
    } catch (NumberFormatException error) {
      // Answered below.
    }
    return Uni.createFrom().item(problem("offset: not a whole number from 0"));
  }

  private void fail(RoutingContext context, Throwable error) {
    if (error instanceof OperatorFailureException failure) {
      answer(context, failure.kind().status(), problem(failure.getMessage()));
    } else {
      LOGGER.log(Level.ERROR, "operator: a statement failed", error);
      int status = OperatorFailureKind.UNKNOWN_FATE.status();
      answer(context, status, problem("internal error; the statement may have taken effect"));
    }
  }

  private void refuseBody(RoutingContext context) {
    int status = context.statusCode() > 0 ? context.statusCode() : 400;
    answer(context, status, problem("a statement has at most " + BODY_LIMIT + " bytes"));
  }

  private void answer(RoutingContext context, int status, StatementResult result) {
    HttpServerResponse response = context.response();
    if (response.ended() || response.closed()) {
      return;
    }
    response
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .putHeader("Cache-Control", "no-store")
        .end(codec.encode(result) + "\n");
  }

  private static int status(StatementResult result) {
    if (result instanceof StatementResult.Conflict) {
      return 409;
    }
    return result instanceof Problem ? 400 : 200;
  }

  private static StatementResult problem(String message) {
    return new Problem(message, StatementResult.NO_COLUMN);
  }

  private static String key(RoutingContext context) {
    String header = context.request().getHeader("Authorization");
    return header != null && header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
  }

  private static String keyId(RoutingContext context) {
    String key = key(context);
    return key.substring(0, Math.max(0, key.indexOf('.')));
  }

  /** What an authenticated call does, on the control thread. */
  @FunctionalInterface
  private interface Call {
    Uni<StatementResult> run(RoutingContext context);
  }
}
