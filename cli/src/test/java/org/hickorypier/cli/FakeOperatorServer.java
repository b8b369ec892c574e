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
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResultCodec;

/** A daemon's operator interface with answers prepared by the test. */
final class FakeOperatorServer implements AutoCloseable {

  /** A status that stands for closing the connection without an answer. */
  static final int HANG_UP = 0;

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

  /** Prepares the next answer to a statement, or to the path of a change. */
  FakeOperatorServer answer(String statement, int status, StatementResult result) {
    answers.computeIfAbsent(statement, text -> new ArrayDeque<>()).add(new Answer(status, result));
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
    boolean isStatement = request.path().equals("/v1/operator/statements");
    String question = isStatement ? body.toString() : request.path();
    String changeId = request.getHeader("Hickory-Change-Id");
    seen.add(changeId == null ? question : changeId + " " + question);
    if (!("Bearer " + key).equals(request.getHeader("Authorization"))) {
      send(request, new Answer(401, new StatementResult.Problem("no such operator's key", 0)));
      return;
    }
    Deque<Answer> prepared = answers.getOrDefault(question, new ArrayDeque<>());
    if (prepared.isEmpty()) {
      send(request, new Answer(400, new StatementResult.Problem("the test expects no such", 0)));
    } else {
      send(request, prepared.size() > 1 ? prepared.poll() : prepared.peek());
    }
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
