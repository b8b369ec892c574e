package org.hickorypier.daemon.front;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.hickorypier.platform.intake.CallerProtocol;

/**
 * Reads the body of a request up to {@link #MAX_BODY_BYTES}. Stateless.
 *
 * <p>A chunked body may be endless, or end in a chunk that cannot be parsed. Without a limit it
 * exhausts the memory of the process, and without an answer to the format error the caller waits in
 * vain. Every part is counted as it arrives and nothing is kept after the refusal, so memory stays
 * bounded.
 */
final class BodyReader {

  static final int MAX_BODY_BYTES = 262_144;

  private static final int MAX_LENGTH_DIGITS = 9;
  private static final int BAD_REQUEST = 400;
  private static final int PAYLOAD_TOO_LARGE = 413;

  private BodyReader() {}

  /** Receives the result of reading a body. */
  interface Callback {

    /** Called when more of the body has been read, up to the limit. */
    void onPart();

    /** Called when the whole body has been read. */
    void onComplete();

    /** Called when the request has to be answered without its body; the rest is discarded. */
    void onRefused(int status, String text);
  }

  static void read(Exchange exchange, Callback callback) {
    HttpServerRequest request = exchange.request();
    String length = request.getHeader("Content-Length");
    if (isTooLong(length)) {
      callback.onRefused(PAYLOAD_TOO_LARGE, tooLargeAnswer(length + " bytes"));
      return;
    }
    request.handler(part -> appendPart(exchange, part, callback));
    request.exceptionHandler(
        error ->
            callback.onRefused(BAD_REQUEST, CallerProtocol.formatError("the body cannot be read")));
    request.endHandler(ignored -> callback.onComplete());
  }

  private static boolean isTooLong(String length) {
    return length != null
        && (length.length() > MAX_LENGTH_DIGITS || Long.parseLong(length) > MAX_BODY_BYTES);
  }

  private static void appendPart(Exchange exchange, Buffer part, Callback callback) {
    if (exchange.isEnded()) {
      return;
    }
    exchange.body().appendBuffer(part);
    if (exchange.body().length() > MAX_BODY_BYTES) {
      callback.onRefused(
          PAYLOAD_TOO_LARGE, tooLargeAnswer("more than " + MAX_BODY_BYTES + " bytes"));
    } else {
      callback.onPart();
    }
  }

  private static String tooLargeAnswer(String size) {
    return CallerProtocol.formatError("the body has " + size + ", allowed are " + MAX_BODY_BYTES);
  }
}
