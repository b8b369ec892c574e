package org.hickorypier.standins.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.RoutingContext;
import org.hickorypier.platform.log.AppendReply;
import org.hickorypier.platform.log.AppendRequest;
import org.hickorypier.platform.log.ExpiredReply;
import org.hickorypier.platform.log.OffsetExpiredException;
import org.hickorypier.standins.log.HeldRead;
import org.hickorypier.standins.log.InMemoryLog;
import org.hickorypier.standins.log.LogOperations;

/**
 * The stand-in log service over HTTP, as described in docs/PLATFORM.md.
 *
 * <p>Thread safe.
 */
public final class LogServer {

  private static final int GONE = 410;
  private static final int LARGEST_CONNECTIONS = 1_000;
  private static final int USUAL_LIMIT = 1_000;

  private final InMemoryLog log;
  private final StandInServer server;
  private final GatedRoute route;

  /**
   * Creates the server.
   *
   * @param vertx runs it
   * @param log the streams
   */
  public LogServer(Vertx vertx, InMemoryLog log) {
    this.log = log;
    this.server = new StandInServer(vertx, LARGEST_CONNECTIONS);
    this.route = new GatedRoute(server.gate(), LogServer::refuse);
    server.router().post("/log/:stream/records").handler(this::append);
    server.router().get("/log/:stream/records").handler(this::read);
    server.router().get("/log/:stream").handler(this::range);
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

  private void append(RoutingContext context) {
    StandInServer.body(
        context,
        AppendRequest.class,
        request ->
            route.call(
                context,
                LogOperations.APPEND,
                () -> log.append(context.pathParam("stream"), request.records()),
                offset ->
                    FaultedResponses.json(context, StandInServer.OK, new AppendReply(offset))));
  }

  private void read(RoutingContext context) {
    String stream = context.pathParam("stream");
    long from = StandInServer.number(context, "from", 0);
    int limit = (int) StandInServer.number(context, "limit", USUAL_LIMIT);
    long wait = StandInServer.number(context, "waitMillis", 0);
    route.call(
        context,
        LogOperations.READ,
        () ->
            new HeldRead(
                log,
                stream,
                from,
                limit,
                page -> FaultedResponses.json(context, StandInServer.OK, page),
                expired -> refuse(context, expired)),
        held -> held.begin(wait, server.delays()));
  }

  private void range(RoutingContext context) {
    route.call(
        context,
        LogOperations.RANGE,
        () -> log.range(context.pathParam("stream")),
        range -> FaultedResponses.json(context, StandInServer.OK, range));
  }

  private static void refuse(RoutingContext context, Exception error) {
    if (error instanceof OffsetExpiredException expired) {
      FaultedResponses.json(context, GONE, new ExpiredReply(expired.oldestOffset()));
    } else {
      FaultedResponses.json(
          context, StandInServer.BAD_REQUEST, new ErrorBody(String.valueOf(error.getMessage())));
    }
  }
}
