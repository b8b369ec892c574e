package org.hickorypier.standins.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.function.Function;
import org.hickorypier.standins.executor.InMemoryExecutor;
import org.hickorypier.standins.fault.FaultGate;

/** Serves a worker in the platform's protocol on loopback, with faults on order. Thread safe. */
public final class ExecutorServer {

  private static final int MOST_CONNECTIONS = 64;
  private static final long POLL_MILLIS = 5;
  private static final int OTHER_LIFE = 421;

  private final Vertx vertx;
  private final InMemoryExecutor executor;
  private final StandInServer server;
  private final GatedRoute gated;

  /**
   * Creates the server.
   *
   * @param vertx runs the input and output
   * @param executor what it serves
   */
  public ExecutorServer(Vertx vertx, InMemoryExecutor executor) {
    this.vertx = vertx;
    this.executor = executor;
    this.server = new StandInServer(vertx, MOST_CONNECTIONS);
    this.gated = new GatedRoute(server.gate(), (context, error) -> context.fail(error));
    order("/hickorypier/run-start", "start", executor::start);
    order("/hickorypier/run-stop", "stop", executor::stop);
    server.router().post("/hickorypier/hold").handler(this::hold);
  }

  /**
   * Begins to listen.
   *
   * @param port the port, or 0 for a free one
   * @return the server
   */
  public Future<HttpServer> listen(int port) {
    return server.listen(port);
  }

  /**
   * Returns the gate at which faults strike.
   *
   * @return the gate; operations are named start, stop and hold
   */
  public FaultGate gate() {
    return server.gate();
  }

  private void order(
      String path, String operation, Function<JsonObject, InMemoryExecutor.Answer> action) {
    server
        .router()
        .post(path)
        .handler(
            context -> {
              JsonObject body = context.body().asJsonObject();
              if (misdirected(context)) {
                return;
              }
              gated.call(
                  context, operation, () -> action.apply(body), answer -> answer(context, answer));
            });
  }

  private void hold(RoutingContext context) {
    JsonObject body = context.body().asJsonObject();
    if (misdirected(context)) {
      return;
    }
    long seen = body.getLong("SeenUpto", 0L);
    gated.call(
        context,
        "hold",
        () -> executor.hold(body),
        first -> poll(context, body, seen, StandInServer.endOf(body.getLong("WaitMs", 0L))));
  }

  private void poll(RoutingContext context, JsonObject body, long seen, long until) {
    if (System.nanoTime() < until && !executor.hasEnds(seen)) {
      vertx.setTimer(POLL_MILLIS, id -> poll(context, body, seen, until));
    } else {
      answer(context, executor.hold(body));
    }
  }

  private boolean misdirected(RoutingContext context) {
    String expected = context.request().getHeader("Hickorypier-Expect-Instance");
    boolean other = expected != null && !expected.equals(executor.id());
    if (other) {
      context.response().setStatusCode(OTHER_LIFE).end();
    }
    return other;
  }

  private static void answer(RoutingContext context, InMemoryExecutor.Answer answer) {
    context.response().setStatusCode(answer.status()).end(answer.body().toBuffer());
  }
}
