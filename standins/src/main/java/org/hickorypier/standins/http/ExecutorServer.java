package org.hickorypier.standins.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.hickorypier.standins.executor.InMemoryExecutor;
import org.hickorypier.standins.fault.FaultGate;

/**
 * Serves a worker in the platform's protocol on loopback, with faults on order.
 *
 * <p>The worker may be replaced by its next incarnation. Calls that arrive in between wait for it,
 * and it carries them out, as it does renewals that waited at the former one; calls whose sender is
 * gone are dropped. Thread safe.
 */
public final class ExecutorServer {

  private static final int MOST_CONNECTIONS = 64;
  private static final long POLL_MILLIS = 5;
  private static final int OTHER_LIFE = 421;

  private final Vertx vertx;
  private volatile InMemoryExecutor executor;
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
    order("/hickorypier/run-start", "start", InMemoryExecutor::start);
    order("/hickorypier/run-stop", "stop", InMemoryExecutor::stop);
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
   * Replaces the worker.
   *
   * @param next its next incarnation, or null while it is down
   */
  public void serve(InMemoryExecutor next) {
    executor = next;
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
      String path,
      String operation,
      BiFunction<InMemoryExecutor, JsonObject, InMemoryExecutor.Answer> action) {
    server
        .router()
        .post(path)
        .handler(
            context ->
                whenUp(
                    context,
                    present ->
                        gated.call(
                            context,
                            operation,
                            () -> action.apply(present, context.body().asJsonObject()),
                            answer -> answer(context, answer))));
  }

  private void hold(RoutingContext context) {
    whenUp(context, present -> hold(context, present));
  }

  private void hold(RoutingContext context, InMemoryExecutor present) {
    JsonObject body = context.body().asJsonObject();
    long until = StandInServer.endOf(body.getLong("WaitMs", 0L));
    gated.call(
        context, "hold", () -> present.hold(body), first -> poll(context, present, body, until));
  }

  private void poll(RoutingContext context, InMemoryExecutor asked, JsonObject body, long until) {
    if (executor != asked) {
      hold(context);
    } else if (System.nanoTime() < until && !asked.hasEnds(body.getLong("SeenUpto", 0L))) {
      vertx.setTimer(POLL_MILLIS, id -> poll(context, asked, body, until));
    } else {
      answer(context, asked.hold(withoutAcknowledgement(body)));
    }
  }

  /** Ends are acknowledged as the renewal arrives, not once more as it is answered. */
  private static JsonObject withoutAcknowledgement(JsonObject body) {
    JsonObject rest = body.copy();
    rest.remove("SeenUpto");
    return rest;
  }

  private void whenUp(RoutingContext context, Consumer<InMemoryExecutor> action) {
    InMemoryExecutor present = executor;
    if (context.response().closed()) {
      return;
    }
    if (present == null) {
      vertx.setTimer(POLL_MILLIS, id -> whenUp(context, action));
    } else if (!misdirected(context, present)) {
      action.accept(present);
    }
  }

  private static boolean misdirected(RoutingContext context, InMemoryExecutor present) {
    String expected = context.request().getHeader("Hickorypier-Expect-Instance");
    boolean other = expected != null && !expected.equals(present.id());
    if (other) {
      context.response().setStatusCode(OTHER_LIFE).end();
    }
    return other;
  }

  private static void answer(RoutingContext context, InMemoryExecutor.Answer answer) {
    context.response().setStatusCode(answer.status()).end(answer.body().toBuffer());
  }
}
