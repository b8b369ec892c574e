package org.hickorypier.daemon.front;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.hickorypier.platform.intake.CallerProtocol;

/**
 * Reads the body of a request, which may be too large, malformed, or never end. Stateless.
 *
 * <p>Failure: a chunked body goes on for ever, or breaks off with a chunk that cannot be read.
 * Symptom: the process runs out of memory; the caller gets no answer. Safeguard: the bytes are
 * counted as they come, and an error of the format is answered. It is enough because nothing of a
 * body is kept before it was counted.
 */
final class BodyReader {

  static final int MOST_BYTES = 262_144;

  private static final int MOST_DIGITS = 9;
  private static final int BAD_REQUEST = 400;
  private static final int TOO_LARGE = 413;

  private BodyReader() {}

  /** What becomes of a body. */
  interface Outcome {

    /** The whole body is here. */
    void whole();

    /** The request is answered without it, and no more of it is read. */
    void refused(int status, String text);
  }

  static void read(Exchange exchange, Outcome outcome) {
    HttpServerRequest request = exchange.request();
    String length = request.getHeader("Content-Length");
    if (tooLong(length)) {
      outcome.refused(TOO_LARGE, tooLarge(length + " bytes"));
      return;
    }
    request.handler(part -> add(exchange, part, outcome));
    request.exceptionHandler(
        error ->
            outcome.refused(BAD_REQUEST, CallerProtocol.formatError("the body cannot be read")));
    request.endHandler(none -> outcome.whole());
  }

  private static boolean tooLong(String length) {
    return length != null && (length.length() > MOST_DIGITS || Long.parseLong(length) > MOST_BYTES);
  }

  private static void add(Exchange exchange, Buffer part, Outcome outcome) {
    if (exchange.ended()) {
      return;
    }
    exchange.body().appendBuffer(part);
    if (exchange.body().length() > MOST_BYTES) {
      outcome.refused(TOO_LARGE, tooLarge("more than " + MOST_BYTES + " bytes"));
    }
  }

  private static String tooLarge(String size) {
    return CallerProtocol.formatError("the body has " + size + ", allowed are " + MOST_BYTES);
  }
}
