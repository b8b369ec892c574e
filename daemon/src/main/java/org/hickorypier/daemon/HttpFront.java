package org.hickorypier.daemon;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hickorypier.core.intake.IntakeLimits;
import org.hickorypier.daemon.front.ConnectionGuard;
import org.hickorypier.daemon.front.GuardMode;
import org.hickorypier.daemon.front.GuardedConnection;

/**
 * The HTTP server of a daemon, from its first connection to the last answer.
 *
 * <p>Thread safe. {@link #listen} and {@link #stop} block their caller.
 */
final class HttpFront {

  private static final Logger LOGGER = System.getLogger(HttpFront.class.getName());
  private static final Duration CLOSE_LIMIT = Duration.ofSeconds(5);

  /** Time for the server's own limit to run out first, so that the waits are told apart. */
  private static final Duration MARGIN = Duration.ofMillis(500);

  /** The most connections of callers and operators. */
  private static final int MAX_CONNECTIONS = 2_000;

  /** Callers hold at most one of this many parts of the heap. */
  private static final int INTAKE_PART = 4;

  private final ConnectionGuard guard =
      new ConnectionGuard(
          "http",
          new IntakeLimits(MAX_CONNECTIONS, Runtime.getRuntime().maxMemory() / INTAKE_PART),
          name -> true,
          GuardMode.WATCHED,
          guarded -> guarded.connection().close(),
          () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
          (part, event, fields) ->
              LOGGER.log(Level.WARNING, "daemon: {0} {1}", event, Arrays.toString(fields)));

  private final Vertx vertx;
  private volatile HttpServer server;

  HttpFront(Vertx vertx) {
    this.vertx = vertx;
  }

  /**
   * Opens the port.
   *
   * @return the port, chosen by the system if 0 was asked for
   */
  int listen(Handler<HttpServerRequest> handler, String host, int port)
      throws DaemonStartException {
    HttpServer opened =
        vertx.createHttpServer(options()).connectionHandler(this::admit).requestHandler(handler);
    try {
      server = opened.listen(port, host).toCompletionStage().toCompletableFuture().get();
      return server.actualPort();
    } catch (ExecutionException | InterruptedException error) {
      await(vertx.close(), CLOSE_LIMIT, "connections were still open at the end");
      throw new DaemonStartException("cannot listen on " + host + ":" + port, error);
    }
  }

  private void admit(HttpConnection connection) {
    GuardedConnection guarded = guard.install(connection);
    connection.closeHandler(
        ignored -> {
          guarded.recordClosed();
          guard.update(guarded);
        });
    guard.open(guarded);
  }

  /**
   * Waits for the answers in progress, for that long at the most, and closes everything.
   *
   * <p>The last answers may still be on their way when the last work has ended: a slow caller takes
   * seconds for a large one. To close the connections at once, or to end the process, would cut
   * them, and their callers would take work that is done for work of unknown fate. So the server
   * first takes no new connections and waits.
   */
  void stop(Duration limit) {
    if (server != null) {
      Future<Void> end = server.shutdown(limit.toMillis(), TimeUnit.MILLISECONDS);
      await(end, limit.plus(MARGIN), "answers were still on their way at the end");
    }
    await(vertx.close(), CLOSE_LIMIT, "connections were still open at the end");
  }

  // With HTTP/2 on plain connections, the server waits for the first bytes to tell the versions
  // apart, and its shutdown waits with it. A balancer that keeps an unused connection in reserve
  // would hold up every shutdown to its limit. Callers and operators use HTTP/1.1.
  private static HttpServerOptions options() {
    return new HttpServerOptions().setHttp2ClearTextEnabled(false);
  }

  private static void await(Future<Void> end, Duration limit, String otherwise) {
    try {
      end.toCompletionStage().toCompletableFuture().get(limit.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException error) {
      LOGGER.log(Level.WARNING, "daemon: {0}", otherwise);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
    }
  }
}
