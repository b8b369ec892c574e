package org.hickorypier.standins.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.util.Iterator;
import java.util.Optional;
import org.hickorypier.standins.worker.TaskAnswer;

/** Streams answers of tasks, at the pace of the caller. Stateless and thread safe. */
final class AnswerResponses {

  private static final String STATE_HEADER = "Task-State";

  private AnswerResponses() {}

  static void send(RoutingContext context, Optional<TaskAnswer> answer, boolean cut) {
    HttpServerResponse response = context.response();
    if (response.closed()) {
      return;
    }
    if (answer.isEmpty()) {
      response.setStatusCode(StandInServer.NO_CONTENT).end();
      return;
    }
    TaskAnswer whole = answer.get();
    response
        .putHeader(STATE_HEADER, whole.state().name())
        .putHeader("Content-Length", String.valueOf(whole.length()));
    pump(context, (cut ? whole.firstHalf() : whole.pieces()).iterator(), cut);
  }

  /**
   * Writes one piece after the other, so that one slow caller costs one piece of memory. Each piece
   * is written in a turn of its own: a write may complete at once, and a long answer would
   * otherwise exhaust the stack.
   */
  private static void pump(RoutingContext context, Iterator<byte[]> pieces, boolean cut) {
    HttpServerResponse response = context.response();
    if (response.closed()) {
      return;
    }
    if (!pieces.hasNext()) {
      if (cut) {
        context.request().connection().close();
      } else {
        response.end();
      }
      return;
    }
    response
        .write(Buffer.buffer(pieces.next()))
        .onSuccess(written -> context.vertx().runOnContext(next -> pump(context, pieces, cut)));
  }
}
