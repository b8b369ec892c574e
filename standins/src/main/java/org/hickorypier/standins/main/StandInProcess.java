package org.hickorypier.standins.main;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import java.util.concurrent.ExecutionException;
import org.apache.commons.cli.ParseException;

/** What the stand-ins' processes share. Stateless. */
final class StandInProcess {

  static final String LOOPBACK = "127.0.0.1";

  private static final int BAD_USAGE = 2;
  private static final int FAILED = 1;

  /** What a process does once its command line is known to be well formed. */
  @FunctionalInterface
  interface Body {

    void run() throws ParseException, ExecutionException, InterruptedException;
  }

  private StandInProcess() {}

  /** Runs a process to the point where it serves, or ends it with a message and an exit code. */
  static void run(Body body) {
    try {
      body.run();
    } catch (ParseException error) {
      System.err.println("usage: " + error.getMessage());
      System.exit(BAD_USAGE);
    } catch (ExecutionException error) {
      System.err.println("failed: " + error.getCause().getMessage());
      System.exit(FAILED);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
      System.exit(FAILED);
    }
  }

  /** Few threads, so that dozens of these processes fit on one machine. */
  static Vertx vertx(int eventLoops) {
    return Vertx.vertx(
        new VertxOptions()
            .setEventLoopPoolSize(eventLoops)
            .setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1));
  }

  static int await(Future<HttpServer> listening) throws ExecutionException, InterruptedException {
    return listening.toCompletionStage().toCompletableFuture().get().actualPort();
  }

  static void announce(int port) {
    System.out.println("listening " + LOOPBACK + ":" + port);
    System.out.flush();
  }
}
