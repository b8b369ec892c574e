package org.hickorypier.cli;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hickorypier.language.StatementParser;
import org.hickorypier.language.StatementSyntaxException;
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResultCodec;

/**
 * A daemon's operator interface with results prepared by the test. What the interface itself lays
 * down, such as keys, statuses and errors of syntax, it keeps by the same contract as the daemon.
 */
final class FakeOperatorServer implements AutoCloseable {

  /** A status that stands for closing the connection without an answer. */
  static final int HANG_UP = 0;

  private static final String STATEMENTS_PATH = "/v1/operator/statements";
  private static final String CHANGES_PATH = "/v1/operator/changes/";

  private static final String NO_KEY = "no operator's key in force";

  private record Answer(int status, StatementResult result) {}

  private final Map<String, Deque<Answer>> answers = new ConcurrentHashMap<>();
  private final List<String> seen = new CopyOnWriteArrayList<>();
  private final StatementResultCodec codec = new StatementResultCodec();
  private final String key;
  private final HttpServer server;

  FakeOperatorServer(Vertx vertx, String key) {
    this.key = key;
    server =
        vertx
            .createHttpServer()
            .requestHandler(request -> request.body().onSuccess(body -> handle(request, body)))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
  }

  /** Prepares the next result of a statement, or of the path of a change. The last one stays. */
  FakeOperatorServer answer(String question, StatementResult result) {
    return add(question, answerOf(result));
  }

  /** Prepares a failure in place of a result: 401, 503, 504 or {@link #HANG_UP}. */
  FakeOperatorServer fail(String question, int status) {
    return add(question, new Answer(status, problem(status == 401 ? NO_KEY : "not ready")));
  }

  private FakeOperatorServer add(String question, Answer answer) {
    answers.computeIfAbsent(question, text -> new ArrayDeque<>()).add(answer);
    return this;
  }

  /** Returns what was asked: change id, if any, and the statement or path. */
  List<String> seen() {
    return List.copyOf(seen);
  }

  String address() {
    return "127.0.0.1:" + server.actualPort();
  }

  private void handle(HttpServerRequest request, Buffer body) {
    boolean isStatement = request.path().equals(STATEMENTS_PATH);
    String question = isStatement ? body.toString() : request.path();
    String changeId = request.getHeader("Hickory-Change-Id");
    seen.add(changeId == null ? question : changeId + " " + question);
    if (!("Bearer " + key).equals(request.getHeader("Authorization"))) {
      send(request, new Answer(401, problem(NO_KEY)));
    } else if (changeId != null && !changeId.matches("[A-Za-z0-9-]{1,64}")) {
      send(request, answerOf(problem("the change id is not usable")));
    } else {
      send(request, isStatement ? statement(question) : change(question));
    }
  }

  private Answer statement(String text) {
    try {
      new StatementParser().parse(text);
      return prepared(text);
    } catch (StatementSyntaxException error) {
      return answerOf(new StatementResult.Problem(error.getMessage(), error.column()));
    }
  }

  private Answer change(String path) {
    boolean isOffset = path.substring(CHANGES_PATH.length()).matches("[0-9]+");
    return isOffset ? prepared(path) : answerOf(problem("offset: not a whole number from 0"));
  }

  private Answer prepared(String question) {
    Deque<Answer> prepared = answers.getOrDefault(question, new ArrayDeque<>());
    if (prepared.isEmpty()) {
      return answerOf(problem("the test prepared no answer"));
    }
    return prepared.size() > 1 ? prepared.poll() : prepared.peek();
  }

  private static Answer answerOf(StatementResult result) {
    if (result instanceof StatementResult.Conflict) {
      return new Answer(409, result);
    }
    return new Answer(result instanceof StatementResult.Problem ? 400 : 200, result);
  }

  private static StatementResult problem(String message) {
    return new StatementResult.Problem(message, StatementResult.NO_COLUMN);
  }

  private void send(HttpServerRequest request, Answer answer) {
    if (answer.status() == HANG_UP) {
      request.connection().close();
      return;
    }
    request.response().setStatusCode(answer.status());
    request.response().putHeader("Content-Type", "application/json");
    request.response().end(codec.encode(answer.result()));
  }

  @Override
  public void close() {
    server.close().toCompletionStage().toCompletableFuture().join();
  }
}
