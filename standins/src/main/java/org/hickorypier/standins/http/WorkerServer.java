package org.hickorypier.standins.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.hickorypier.platform.worker.ClaimRequest;
import org.hickorypier.platform.worker.ErrorReply;
import org.hickorypier.platform.worker.RenewalRequest;
import org.hickorypier.platform.worker.StartOrder;
import org.hickorypier.platform.worker.ThrottleRequest;
import org.hickorypier.platform.worker.WorkerErrorKind;
import org.hickorypier.platform.worker.WorkerException;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.worker.HeldAnswer;
import org.hickorypier.standins.worker.InMemoryWorker;
import org.hickorypier.standins.worker.WorkerConditions;
import org.hickorypier.standins.worker.WorkerOperations;

/**
 * A stand-in worker over HTTP: what docs/PLATFORM.md describes, and for tests {@code GET /history},
 * {@code POST /conditions} and {@code POST /restart}.
 *
 * <p>Thread safe.
 */
public final class WorkerServer {

  /** As many as the platform's workers take. */
  private static final int LARGEST_CONNECTIONS = 64;

  private static final int CREATED = 201;

  private final InMemoryWorker worker;
  private final StandInServer server;
  private final GatedRoute route;

  /**
   * Creates the server.
   *
   * @param vertx runs it
   * @param worker the worker
   */
  public WorkerServer(Vertx vertx, InMemoryWorker worker) {
    this.worker = worker;
    this.server = new StandInServer(vertx, LARGEST_CONNECTIONS);
    this.route = new GatedRoute(server.gate(), WorkerServer::refuse);
    Router router = server.router();
    router.get("/status").handler(this::status);
    router.post("/control").handler(this::claim);
    router.post("/control/renewal").handler(this::renew);
    router.put("/tasks/:id").handler(this::start);
    router.get("/tasks/:id").handler(this::task);
    router.get("/tasks/:id/answer").handler(this::answer);
    router.delete("/tasks/:id").handler(this::stop);
    router.post("/tasks/:id/throttle").handler(this::throttle);
    router.get("/history").handler(context -> ok(context, worker.history()));
    router.post("/conditions").handler(this::conditions);
    router.post("/restart").handler(this::restart);
  }

  /**
   * Starts listening on loopback.
   *
   * @param port the port, 0 for a free one
   * @return the server, with its port
   */
  public Future<HttpServer> listen(int port) {
    return server.listen(port);
  }

  private void status(RoutingContext context) {
    route.call(context, WorkerOperations.STATUS, worker::status, status -> ok(context, status));
  }

  private void claim(RoutingContext context) {
    StandInServer.body(
        context,
        ClaimRequest.class,
        request ->
            route.call(
                context,
                WorkerOperations.CLAIM,
                () -> worker.claim(request.controller(), request.observedToken()),
                status -> ok(context, status)));
  }

  private void renew(RoutingContext context) {
    StandInServer.body(
        context,
        RenewalRequest.class,
        request ->
            route.call(
                context,
                WorkerOperations.RENEW,
                () -> worker.renew(request.token(), request.leaseMillis()),
                status -> ok(context, status)));
  }

  private void start(RoutingContext context) {
    StandInServer.body(
        context,
        StartOrder.class,
        order ->
            route.call(
                context,
                WorkerOperations.START,
                () -> {
                  checkId(context, order);
                  return worker.start(order);
                },
                result ->
                    FaultedResponses.json(
                        context, result.created() ? CREATED : StandInServer.OK, result.status())));
  }

  private void task(RoutingContext context) {
    route.call(
        context,
        WorkerOperations.TASK,
        () -> worker.task(id(context)),
        status -> ok(context, status));
  }

  private void answer(RoutingContext context) {
    long wait = StandInServer.number(context, "waitMillis", HeldAnswer.FOREVER);
    route.call(
        context,
        WorkerOperations.ANSWER,
        () -> wait,
        passed -> hold(context, wait, false),
        fault -> {
          if (fault == Fault.CUT_BODY) {
            hold(context, wait, true);
          } else {
            FaultedResponses.strike(context, fault);
          }
        });
  }

  private void hold(RoutingContext context, long wait, boolean cut) {
    HeldAnswer held =
        new HeldAnswer(
            worker,
            id(context),
            server.delays(),
            answer -> AnswerResponses.send(context, answer, cut),
            error -> refuse(context, error));
    held.begin(wait);
  }

  private void stop(RoutingContext context) {
    long token = StandInServer.number(context, "token", 0);
    route.call(
        context,
        WorkerOperations.STOP,
        () -> worker.stop(id(context), token),
        status -> ok(context, status));
  }

  private void throttle(RoutingContext context) {
    StandInServer.body(
        context,
        ThrottleRequest.class,
        request ->
            route.call(
                context,
                WorkerOperations.THROTTLE,
                () -> worker.throttle(id(context), request.token(), request.percent()),
                status -> ok(context, status)));
  }

  private void conditions(RoutingContext context) {
    StandInServer.body(
        context,
        WorkerConditions.class,
        conditions -> {
          worker.conditions(conditions);
          ok(context, conditions);
        });
  }

  private void restart(RoutingContext context) {
    worker.restart();
    ok(context, worker.status());
  }

  private static void checkId(RoutingContext context, StartOrder order) throws WorkerException {
    if (!id(context).equals(order.taskId())) {
      throw new WorkerException(WorkerErrorKind.BAD_ORDER, "path and order disagree", null);
    }
  }

  private static String id(RoutingContext context) {
    return context.pathParam("id");
  }

  private static void ok(RoutingContext context, Object body) {
    FaultedResponses.json(context, StandInServer.OK, body);
  }

  private static void refuse(RoutingContext context, Exception error) {
    if (error instanceof WorkerException refusal) {
      ErrorReply reply = new ErrorReply(refusal.getMessage(), refusal.kind());
      FaultedResponses.json(context, statusOf(refusal.kind()), reply);
    } else {
      context.fail(error);
    }
  }

  private static int statusOf(WorkerErrorKind kind) {
    return switch (kind) {
      case STALE_TOKEN -> 409;
      case NO_ROOM -> 422;
      case LEAVING -> 503;
      case BAD_ORDER -> StandInServer.BAD_REQUEST;
      case NOT_SENT, UNKNOWN_EFFECT -> 500;
    };
  }
}
