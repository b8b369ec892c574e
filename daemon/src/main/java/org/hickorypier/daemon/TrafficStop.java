package org.hickorypier.daemon;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Ends the traffic of a daemon that has no work left.
 *
 * <p>Thread safe; blocks its caller, so it is for the shutdown thread only.
 *
 * <p>The last answers may still be on their way when the last work has ended: a slow caller takes
 * seconds for a large one. To close the connections at once, or to end the process, would cut them,
 * and their callers would take work that is done for work of unknown fate. So the server first
 * takes no new connections and waits for the answers in progress.
 */
final class TrafficStop {

  private static final Logger LOGGER = System.getLogger(TrafficStop.class.getName());
  private static final Duration CLOSE_LIMIT = Duration.ofSeconds(5);

  /** Time for the waits' own failures to arrive, so that they are told apart. */
  private static final Duration MARGIN = Duration.ofMillis(500);

  private final Vertx vertx;
  private final Optional<HttpServer> server;

  TrafficStop(Vertx vertx, Optional<HttpServer> server) {
    this.vertx = vertx;
    this.server = server;
  }

  /** Waits for the answers in progress, for that long at the most, and closes everything. */
  void stop(Duration limit) {
    server.ifPresent(
        listening ->
            await(
                listening.shutdown(limit.toMillis(), TimeUnit.MILLISECONDS),
                limit.plus(MARGIN),
                "answers were still on their way at the end of the shutdown time"));
    await(vertx.close(), CLOSE_LIMIT, "connections were still open at the end");
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
