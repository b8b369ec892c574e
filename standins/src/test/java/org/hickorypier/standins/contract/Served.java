package org.hickorypier.standins.contract;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.hickorypier.platform.http.HttpTimeouts;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.http.ServiceHttpClient;
import org.hickorypier.standins.fault.FaultPlan;

/** A served stand-in and what a test needs to reach it. */
public final class Served implements AutoCloseable {

  /** Long enough for a busy machine; no test waits for it. */
  public static final HttpTimeouts PATIENT =
      new HttpTimeouts(Duration.ofSeconds(10), Duration.ofSeconds(10));

  /** For calls that are never answered. */
  public static final HttpTimeouts HASTY =
      new HttpTimeouts(Duration.ofSeconds(10), Duration.ofMillis(300));

  private final Vertx vertx;
  private final HttpServer server;
  private final ServiceAddress address;
  private final ServiceHttpClient control;

  /** Waits for a server to listen. */
  public Served(Vertx vertx, Future<HttpServer> listening) {
    this.vertx = vertx;
    this.server = await(listening);
    this.address = new ServiceAddress("127.0.0.1", server.actualPort());
    this.control = new ServiceHttpClient(vertx, address, PATIENT, 1);
  }

  /** Returns where it listens. */
  public ServiceAddress address() {
    return address;
  }

  /** Plans faults over HTTP. */
  public void plan(FaultPlan plan) {
    await(control.call(HttpMethod.POST, "/faults", plan, Duration.ZERO));
  }

  /** Stops listening and closes every connection. */
  public void stop() {
    await(server.close());
  }

  @Override
  public void close() {
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().orTimeout(20, TimeUnit.SECONDS).join();
  }
}
