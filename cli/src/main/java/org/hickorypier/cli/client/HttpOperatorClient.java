package org.hickorypier.cli.client;

import io.smallrye.mutiny.Uni;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.hickorypier.language.result.ResultFormatException;
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResultCodec;

/**
 * The operators' interface over HTTP. It tries the servers in their order until one answers.
 *
 * <p>A statement whose answer was lost may have taken effect. To send it to the next server is safe
 * all the same: a change carries its id, and an id takes effect once in the log. Thread safe.
 */
public final class HttpOperatorClient implements OperatorClient {

  private static final String STATEMENTS_PATH = "/v1/operator/statements";
  private static final String CHANGES_PATH = "/v1/operator/changes/";
  private static final String CHANGE_ID_HEADER = "Hickory-Change-Id";
  private static final int CONNECT_MILLIS = 2_000;
  private static final int ANSWER_SECONDS = 10;
  private static final int NOT_READY = 503;
  private static final int UNKNOWN_FATE = 504;

  private final List<ServerAddress> servers;
  private final String key;
  private final StatementResultCodec codec = new StatementResultCodec();
  private final Vertx vertx;
  private final WebClient client;

  /**
   * Creates a client. Connections are made when they are needed.
   *
   * @param servers the servers, at least one
   * @param key an operator's key as {@code keyId.secret}
   */
  public HttpOperatorClient(List<ServerAddress> servers, String key) {
    this.servers = List.copyOf(servers);
    this.key = key;
    vertx = Vertx.vertx(smallOptions());
    client =
        WebClient.create(
            vertx,
            new WebClientOptions()
                .setConnectTimeout(CONNECT_MILLIS)
                .setFollowRedirects(false)
                .setUserAgent("hickory"));
  }

  @Override
  public Uni<StatementResult> submit(String statement, String changeId) {
    return tryFrom(
        0,
        List.of(),
        server ->
            request(HttpMethod.POST, server, STATEMENTS_PATH)
                .putHeader("Content-Type", "text/plain; charset=utf-8")
                .putHeader(CHANGE_ID_HEADER, changeId)
                .sendBuffer(Buffer.buffer(statement)));
  }

  @Override
  public Uni<StatementResult> change(long offset) {
    return tryFrom(
        0, List.of(), server -> request(HttpMethod.GET, server, CHANGES_PATH + offset).send());
  }

  @Override
  public void close() {
    client.close();
    vertx.close();
  }

  private Uni<StatementResult> tryFrom(int index, List<ServerFailure> failures, Call call) {
    if (index == servers.size()) {
      return Uni.createFrom().failure(new NoServerException(failures));
    }
    return send(servers.get(index), call)
        .onFailure(ServerFailureException.class)
        .recoverWithUni(error -> tryFrom(index + 1, append(failures, error.failure()), call));
  }

  private static List<ServerFailure> append(List<ServerFailure> failures, ServerFailure failure) {
    return Stream.concat(failures.stream(), Stream.of(failure)).toList();
  }

  private Uni<StatementResult> send(ServerAddress server, Call call) {
    return Uni.createFrom()
        .completionStage(
            () ->
                call.send(server)
                    .timeout(ANSWER_SECONDS, TimeUnit.SECONDS)
                    .transform(answer -> read(server, answer))
                    .toCompletionStage());
  }

  private Future<StatementResult> read(
      ServerAddress server, AsyncResult<HttpResponse<Buffer>> answer) {
    if (answer.failed()) {
      return fail(describe(server, answer.cause()));
    }
    HttpResponse<Buffer> response = answer.result();
    if (response.statusCode() == NOT_READY) {
      return fail(new ServerFailure(server, "is not ready", false));
    }
    if (response.statusCode() == UNKNOWN_FATE) {
      return fail(new ServerFailure(server, "does not know what became of it", true));
    }
    try {
      return Future.succeededFuture(codec.decode(response.bodyAsString()));
    } catch (ResultFormatException | IllegalArgumentException error) {
      String reason = "gave an answer that is no result, status " + response.statusCode();
      return fail(new ServerFailure(server, reason, true));
    }
  }

  private static ServerFailure describe(ServerAddress server, Throwable error) {
    if (error instanceof UnknownHostException) {
      return new ServerFailure(server, "is not known by name", false);
    }
    if (error instanceof ConnectException || error instanceof NoRouteToHostException) {
      return new ServerFailure(server, "refused the connection", false);
    }
    if (error instanceof TimeoutException) {
      return new ServerFailure(server, "did not answer in " + ANSWER_SECONDS + " s", true);
    }
    return new ServerFailure(server, "closed the connection without an answer", true);
  }

  private static Future<StatementResult> fail(ServerFailure failure) {
    return Future.failedFuture(new ServerFailureException(failure));
  }

  private HttpRequest<Buffer> request(HttpMethod method, ServerAddress server, String path) {
    return client
        .request(method, server.port(), server.host(), path)
        .putHeader("Authorization", "Bearer " + key);
  }

  // One command makes a handful of calls; more threads would only make it slower to start.
  private static VertxOptions smallOptions() {
    return new VertxOptions()
        .setEventLoopPoolSize(1)
        .setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(1)
        .setFileSystemOptions(
            new FileSystemOptions()
                .setFileCachingEnabled(false)
                .setClassPathResolvingEnabled(false));
  }

  /** Sends one request to a server. */
  @FunctionalInterface
  private interface Call {
    Future<HttpResponse<Buffer>> send(ServerAddress server);
  }
}
