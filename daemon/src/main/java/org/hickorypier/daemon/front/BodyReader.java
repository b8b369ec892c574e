package org.hickorypier.daemon.front;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.hickorypier.platform.intake.CallerWords;

/**
 * Reads the body of a request, which may be too large, malformed, or never end. Stateless.
 *
 * <p>A body that says its length is refused if that is too much.
 */
final class BodyReader {

  static final int MOST_BYTES = 262_144;

  private static final int MOST_DIGITS = 9;
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
    request.handler(part -> add(exchange, part));
    request.endHandler(none -> outcome.whole());
  }

  private static boolean tooLong(String length) {
    return length != null && (length.length() > MOST_DIGITS || Long.parseLong(length) > MOST_BYTES);
  }

  private static void add(Exchange exchange, Buffer part) {
    if (exchange.ended()) {
      return;
    }
    exchange.body().appendBuffer(part);
  }

  private static String tooLarge(String size) {
    return CallerWords.error("the body has " + size + ", allowed are " + MOST_BYTES);
  }
}
