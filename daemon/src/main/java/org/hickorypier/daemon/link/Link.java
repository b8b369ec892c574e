package org.hickorypier.daemon.link;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.http.TrafficCounter;
import org.hickorypier.wire.UndecodableException;

/**
 * A connection between two instances over which both sides may send requests.
 *
 * <p>Invariants: every request ends with a reply or with a {@link LinkException}; the connection is
 * closed when a request times out and nothing has arrived since it was sent, or no reply for
 * seconds, since a connection may stay silent for good while new ones work. Confined to the control
 * thread.
 */
public final class Link {

  private static final int LENGTH_PREFIX_BYTES = 4;

  /** The replies received, of all kinds. */
  private static final String REPLY_PURPOSE = "link-reply";

  /** Exceeds the frame of any submission; a faulty sender may announce up to 2 GB. */
  private static final int MAX_FRAME_BYTES = 1 << 20;

  private final NetSocket socket;
  private final LinkRequestHandler handler;
  private final TrafficCounter traffic;
  private final PendingReplies pendingReplies;
  private final List<Runnable> closeHandlers = new ArrayList<>();
  private boolean closed;

  /**
   * Creates the link and starts to read from the socket.
   *
   * @param socket the connection
   * @param handler handles the requests of the other side
   * @param timers the timers for reply timeouts
   * @param traffic counts the bytes of requests and replies
   */
  public Link(
      NetSocket socket, LinkRequestHandler handler, TimerService timers, TrafficCounter traffic) {
    this.socket = socket;
    this.handler = handler;
    this.traffic = traffic;
    this.pendingReplies = new PendingReplies(timers, socket::close);
    RecordParser parser = RecordParser.newFixed(LENGTH_PREFIX_BYTES);
    parser.handler(
        new Handler<>() {
          private boolean inFrame;

          @Override
          public void handle(Buffer part) {
            if (!inFrame) {
              int length = part.getInt(0);
              if (length < 1 || length > MAX_FRAME_BYTES) {
                socket.close();
                return;
              }
              parser.fixedSizeMode(length);
            } else {
              parser.fixedSizeMode(LENGTH_PREFIX_BYTES);
              handleFrame(part.getBytes());
            }
            inFrame = !inFrame;
          }
        });
    socket.handler(parser);
    socket.exceptionHandler(error -> socket.close());
    socket.closeHandler(ignored -> handleClosed());
  }

  /**
   * Sends a request to the other side.
   *
   * @param request the request
   * @param timeoutMillis the time limit for the reply, in milliseconds
   * @return the reply; fails with a {@link LinkException} if the link is closed or the reply is
   *     late
   */
  public Future<LinkReply> sendRequest(LinkRequest request, long timeoutMillis) {
    if (closed) {
      return Future.failedFuture(new LinkException("the link is closed"));
    }
    PendingReplies.Registration registered = pendingReplies.register(timeoutMillis);
    writeFrame(LinkCodec.encode(registered.requestNumber(), request), purposeOf(request));
    return registered.reply();
  }

  /**
   * Returns how many requests and replies have arrived. An increase shows that the other side runs.
   *
   * @return the number of frames since the link was opened
   */
  public long framesReceived() {
    return pendingReplies.framesReceived();
  }

  /**
   * Registers an action that runs when the connection is closed.
   *
   * @param action the action, run on the control thread
   */
  public void onClose(Runnable action) {
    closeHandlers.add(action);
  }

  /** Closes the connection. */
  public void close() {
    socket.close();
  }

  private void handleFrame(byte[] bytes) {
    LinkFrame frame;
    try {
      frame = LinkCodec.decode(bytes);
    } catch (UndecodableException error) {
      socket.close();
      return;
    }
    pendingReplies.recordFrame();
    if (frame.request() != null) {
      String purpose = purposeOf(frame.request());
      traffic.record(purpose, 0, LENGTH_PREFIX_BYTES + bytes.length);
      answer(frame.request())
          .onSuccess(reply -> writeFrame(LinkCodec.encode(frame.requestNumber(), reply), purpose));
      return;
    }
    traffic.record(REPLY_PURPOSE, 0, LENGTH_PREFIX_BYTES + bytes.length);
    pendingReplies.complete(frame.requestNumber(), frame.reply());
  }

  /**
   * Answers a request. A handler that throws is reported as a fault of the control thread, and not
   * to the parser, which would keep the frames that arrived together with this one.
   */
  private Future<LinkReply> answer(LinkRequest request) {
    try {
      return handler.answer(request);
    } catch (RuntimeException error) {
      Vertx.currentContext()
          .runOnContext(
              none -> {
                throw error;
              });
      return Future.failedFuture(error);
    }
  }

  private static String purposeOf(LinkRequest request) {
    return "link-" + request.getClass().getSimpleName();
  }

  private void writeFrame(byte[] frame, String purpose) {
    if (!closed) {
      traffic.record(purpose, LENGTH_PREFIX_BYTES + frame.length, 0);
      socket.write(
          Buffer.buffer(LENGTH_PREFIX_BYTES + frame.length)
              .appendInt(frame.length)
              .appendBytes(frame));
    }
  }

  private void handleClosed() {
    closed = true;
    pendingReplies.failAll();
    closeHandlers.forEach(Runnable::run);
  }
}
