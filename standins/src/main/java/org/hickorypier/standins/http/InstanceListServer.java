package org.hickorypier.standins.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.RoutingContext;
import org.hickorypier.platform.instance.InstancesReply;
import org.hickorypier.platform.instance.ListedInstance;
import org.hickorypier.standins.instance.FakeInstanceList;
import org.hickorypier.standins.instance.InMemoryInstanceList;

/**
 * The stand-in instance list over HTTP: what docs/PLATFORM.md describes, and {@code PUT} and {@code
 * DELETE /instances/{name}} to fill it.
 *
 * <p>Thread safe.
 */
public final class InstanceListServer {

  private static final int LARGEST_CONNECTIONS = 1_000;

  private final InMemoryInstanceList list;
  private final StandInServer server;
  private final GatedRoute route;

  /**
   * Creates the server.
   *
   * @param vertx runs it
   * @param list the list
   */
  public InstanceListServer(Vertx vertx, InMemoryInstanceList list) {
    this.list = list;
    this.server = new StandInServer(vertx, LARGEST_CONNECTIONS);
    this.route = new GatedRoute(server.gate(), (context, error) -> context.fail(error));
    server.router().get("/instances").handler(this::read);
    server.router().put("/instances/:name").handler(this::put);
    server.router().delete("/instances/:name").handler(this::remove);
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

  private void read(RoutingContext context) {
    route.call(
        context,
        FakeInstanceList.READ,
        () -> new InstancesReply(list.read()),
        reply -> FaultedResponses.json(context, StandInServer.OK, reply));
  }

  private void put(RoutingContext context) {
    StandInServer.body(
        context,
        ListedInstance.class,
        instance -> {
          list.put(instance);
          FaultedResponses.json(context, StandInServer.OK, instance);
        });
  }

  private void remove(RoutingContext context) {
    list.remove(context.pathParam("name"));
    context.response().setStatusCode(StandInServer.NO_CONTENT).end();
  }
}
