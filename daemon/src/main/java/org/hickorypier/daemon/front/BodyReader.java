package org.hickorypier.daemon.front;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.hickorypier.platform.intake.CallerWords;

/**
 * Reads the body of a request, which may be too large, malformed, or never end. Stateless.
 *
 * <p>Failure: a chunked body goes on for ever, or breaks off with a chunk that cannot be read.
 * Symptom: the process runs out of memory; the caller gets no answer. Safeguard: the bytes are
 * counted as they come, and an error of the format is answered. It is enough because nothing of a
 * body is kept before it was counted.
 */
final class BodyReader {

  static final int MAX_BODY_BYTES = 262_144;

  private static final int MAX_LENGTH_DIGITS = 9;
  private static final int BAD_REQUEST = 400;
  private static final int PAYLOAD_TOO_LARGE = 413;

  private BodyReader() {}

  /** What becomes of a body. */
  interface Callback {

    /** The whole body is here. */
    void onComplete();

    /** The request is answered without it, and no more of it is read. */
    void onRefused(int status, String text);
  }

  static void read(Exchange exchange, Callback outcome) {
    HttpServerRequest request = exchange.request();
    String length = request.getHeader("Content-Length");
    if (isTooLong(length)) {
      outcome.onRefused(PAYLOAD_TOO_LARGE, tooLargeAnswer(length + " bytes"));
      return;
    }
    request.handler(part -> appendPart(exchange, part, outcome));
    request.exceptionHandler(
        error -> outcome.onRefused(BAD_REQUEST, CallerWords.error("the body cannot be read")));
    request.endHandler(none -> outcome.onComplete());
  }

  private static boolean isTooLong(String length) {
    return length != null
        && (length.length() > MAX_LENGTH_DIGITS || Long.parseLong(length) > MAX_BODY_BYTES);
  }

  private static void appendPart(Exchange exchange, Buffer part, Callback outcome) {
    if (exchange.isEnded()) {
      return;
    }
    exchange.body().appendBuffer(part);
    if (exchange.body().length() > MAX_BODY_BYTES) {
      outcome.onRefused(
          PAYLOAD_TOO_LARGE, tooLargeAnswer("more than " + MAX_BODY_BYTES + " bytes"));
    }
  }

  private static String tooLargeAnswer(String size) {
    return CallerWords.error("the body has " + size + ", allowed are " + MAX_BODY_BYTES);
  }
}
