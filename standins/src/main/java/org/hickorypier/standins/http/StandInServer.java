package org.hickorypier.standins.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.hickorypier.platform.http.JsonCodec;
import org.hickorypier.standins.fault.Delays;
import org.hickorypier.standins.fault.FaultGate;
import org.hickorypier.standins.fault.FaultPlan;

/**
 * What the HTTP servers of all stand-ins share: listening, the body limit, a bound on connections
 * and {@code POST /faults}.
 *
 * <p>Thread safe.
 */
final class StandInServer {

  static final int OK = 200;
  static final int NO_CONTENT = 204;
  static final int BAD_REQUEST = 400;

  private static final String LOOPBACK = "127.0.0.1";
  private static final long BODY_LIMIT = 8L << 20;

  private final Vertx vertx;
  private final int largestConnections;
  private final AtomicInteger connections = new AtomicInteger();
  private final Router router;
  private final FaultGate gate;

  StandInServer(Vertx vertx, int largestConnections) {
    this.vertx = vertx;
    this.largestConnections = largestConnections;
    this.gate = new FaultGate(delays());
    this.router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT));
    router
        .post("/faults")
        .handler(
            context ->
                body(
                    context,
                    FaultPlan.class,
                    plan -> {
                      gate.plan(plan);
                      FaultedResponses.json(context, OK, plan);
                    }));
  }

  Delays delays() {
    return (millis, task) -> vertx.setTimer(Math.max(1, millis), id -> task.run());
  }

  Router router() {
    return router;
  }

  FaultGate gate() {
    return gate;
  }

  Future<HttpServer> listen(int port) {
    return vertx
        .createHttpServer(new HttpServerOptions().setHost(LOOPBACK).setPort(port))
        .connectionHandler(
            connection -> {
              if (connections.incrementAndGet() > largestConnections) {
                connection.close();
              }
              connection.closeHandler(closed -> connections.decrementAndGet());
            })
        .requestHandler(router)
        .listen();
  }

  static <T> void body(RoutingContext context, Class<T> type, Consumer<T> action) {
    T value;
    try {
      value = JsonCodec.decode(context.body().buffer(), type);
    } catch (IOException | IllegalArgumentException error) {
      FaultedResponses.json(context, BAD_REQUEST, new ErrorBody("malformed body"));
      return;
    }
    action.accept(value);
  }

  /**
   * Returns when a wait ends; timers fire late on a busy machine, so counting them would make it
   * longer.
   */
  static long endOf(long waitMillis) {
    return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
  }

  static long number(RoutingContext context, String name, long otherwise) {
    String text = context.request().getParam(name);
    return text == null ? otherwise : Long.parseLong(text);
  }
}
