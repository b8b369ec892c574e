package org.hickorypier.standins.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.hickorypier.platform.http.JsonCodec;
import org.hickorypier.standins.fault.Fault;

/** Writes answers, and brings faults about on the wire. Stateless and thread safe. */
final class FaultedResponses {

  private static final int UNAVAILABLE = 503;
  private static final int CUT_BODY_LENGTH = 1_000;

  private FaultedResponses() {}

  static void json(RoutingContext context, int status, Object body) {
    HttpServerResponse response = context.response();
    if (!response.closed()) {
      response
          .setStatusCode(status)
          .putHeader("Content-Type", "application/json")
          .end(JsonCodec.encode(body));
    }
  }

  /** A silent call stays open until its caller closes the connection. */
  static void strike(RoutingContext context, Fault fault) {
    switch (fault) {
      case UNAVAILABLE -> json(context, UNAVAILABLE, new ErrorBody("unavailable"));
      case RESET_BEFORE_EFFECT, RESET_AFTER_EFFECT, LATE_EFFECT ->
          context.request().connection().close();
      case CUT_BODY ->
          context
              .response()
              .putHeader("Content-Length", String.valueOf(CUT_BODY_LENGTH))
              .write("{")
              .onComplete(written -> context.request().connection().close());
      default -> {}
    }
  }
}
