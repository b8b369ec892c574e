package org.hickorypier.standins.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.standins.fault.FaultGate;
import org.hickorypier.standins.store.AppendTerms;
import org.hickorypier.standins.store.InMemoryStore;
import org.hickorypier.standins.store.StoreRefusal;

/** Serves a store in the platform's protocol on loopback, with faults on order. Thread safe. */
public final class StoreServer {

  private static final int MOST_CONNECTIONS = 256;
  private static final int PAGE = 500;
  private static final long POLL_MILLIS = 5;
  private static final int LENGTH_BYTES = 4;

  /** Largest record that the platform's store accepts. */
  private static final int MAX_RECORD_BYTES = 262_144;

  private final Vertx vertx;
  private final InMemoryStore store;
  private final StandInServer server;
  private final GatedRoute gated;

  /**
   * Creates the server.
   *
   * @param vertx runs the input and output
   * @param store what it serves
   */
  public StoreServer(Vertx vertx, InMemoryStore store) {
    this.vertx = vertx;
    this.store = store;
    this.server = new StandInServer(vertx, MOST_CONNECTIONS);
    this.gated = new GatedRoute(server.gate(), StoreServer::refuse);
    server.router().post("/hickorypier/log-append").handler(this::append);
    server.router().get("/hickorypier/log-read").handler(this::read);
    server.router().get("/hickorypier/log-newest").handler(this::newest);
    server.router().post("/hickorypier/log-join").handler(this::join);
    server.router().post("/hickorypier/log-leave").handler(this::leave);
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
   * @return the gate; operations are named append, read, newest, join and leave
   */
  public FaultGate gate() {
    return server.gate();
  }

  private void append(RoutingContext context) {
    AppendTerms terms =
        new AppendTerms(
            StandInServer.number(context, "At", -1),
            context.request().getParam("Producer", ""),
            StandInServer.number(context, "epoch", 0),
            StandInServer.number(context, "Sequence", 0));
    gated.call(
        context,
        "append",
        () ->
            store.append(
                topic(context), partition(context), records(context.body().buffer()), terms),
        answer -> FaultedResponses.json(context, StandInServer.OK, answer.getMap()));
  }

  private static List<byte[]> records(Buffer body) {
    List<byte[]> records = new ArrayList<>();
    int position = 0;
    while (body != null && position < body.length()) {
      int length = body.getInt(position);
      if (length > MAX_RECORD_BYTES) {
        throw new IllegalArgumentException(
            "a record has " + length + " bytes, allowed are at most " + MAX_RECORD_BYTES);
      }
      position += LENGTH_BYTES;
      records.add(body.getBytes(position, position + length));
      position += length;
    }
    return records;
  }

  private void read(RoutingContext context) {
    long from = StandInServer.number(context, "From", 0);
    long wait = StandInServer.number(context, "WaitMs", 0);
    gated.call(
        context, "read", () -> StandInServer.endOf(wait), until -> poll(context, from, until));
  }

  private void poll(RoutingContext context, long from, long until) {
    List<byte[]> records;
    try {
      records = store.read(topic(context), partition(context), from);
    } catch (StoreRefusal refusal) {
      refuse(context, refusal);
      return;
    }
    if (records.isEmpty() && System.nanoTime() < until) {
      vertx.setTimer(POLL_MILLIS, id -> poll(context, from, until));
      return;
    }
    Buffer body = Buffer.buffer();
    body.appendLong(store.end(topic(context), partition(context)));
    body.appendLong(store.first(topic(context), partition(context)));
    for (byte[] entry : records) {
      body.appendInt(entry.length).appendBytes(entry);
    }
    context.response().end(body);
  }

  private void newest(RoutingContext context) {
    String after = context.request().getParam("DependsOn");
    gated.call(
        context,
        "newest",
        () -> store.newest(topic(context), partition(context), after, PAGE),
        answer -> context.response().end(answer.toBuffer()));
  }

  private void join(RoutingContext context) {
    JsonObject body = context.body().asJsonObject();
    gated.call(
        context,
        "join",
        () ->
            store.join(
                body.getString("group"),
                body.getString("Member"),
                body.getJsonArray("Topics").getString(0),
                body.getLong("TtlMs")),
        answer -> context.response().end(answer.toBuffer()));
  }

  private void leave(RoutingContext context) {
    JsonObject body = context.body().asJsonObject();
    gated.call(
        context,
        "leave",
        () -> {
          store.leave(body.getString("group"), body.getString("Member"));
          return new JsonObject();
        },
        answer -> context.response().end(answer.toBuffer()));
  }

  private static String topic(RoutingContext context) {
    return context.request().getParam("Topic");
  }

  private static int partition(RoutingContext context) {
    return (int) StandInServer.number(context, "part", 0);
  }

  private static void refuse(RoutingContext context, Exception error) {
    if (error instanceof StoreRefusal refusal) {
      context.response().setStatusCode(refusal.status()).end(refusal.body().toBuffer());
    } else {
      context
          .response()
          .setStatusCode(StandInServer.BAD_REQUEST)
          .end(new JsonObject().put("Error", String.valueOf(error.getMessage())).toBuffer());
    }
  }
}
