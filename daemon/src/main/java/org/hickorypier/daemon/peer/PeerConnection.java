package org.hickorypier.daemon.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.message.Frame;
import org.hickorypier.wire.message.FrameException;
import org.hickorypier.wire.message.FrameReader;
import org.hickorypier.wire.message.PeerMessage;

/**
 * One TCP connection to a peer, or to someone who says so.
 *
 * <p>Frames are read, decoded and authenticated on the connection's event loop; only messages of an
 * authenticated peer reach the control thread. So strangers cost the control thread nothing. Bytes
 * that are no frame, and messages out of turn, end this connection and no other.
 *
 * <p>Invariant: no more than {@link #MAX_PENDING} messages plus one chunk wait for the control
 * thread; the socket is paused beyond that. {@link #write}, {@link #isFull} and {@link #close} may
 * be called from any thread, the rest runs on the event loop.
 */
final class PeerConnection implements LinkConnection {

  private static final Logger LOGGER = System.getLogger(PeerConnection.class.getName());

  /** Decoded messages that may wait; the control thread takes them in well under 10 ms. */
  private static final int MAX_PENDING = 256;

  private final MessagePackCodec<PeerMessage> codec = new MessagePackCodec<>(PeerMessage.class);
  private final FrameReader reader = new FrameReader(Frame.MAX_HANDSHAKE_BYTES);
  private final AtomicInteger pending = new AtomicInteger();
  private final NetSocket socket;
  private final Executor eventLoop;
  private final Handshake handshake;
  private final PeerCounters counters;
  private final Executor control;
  private final ConnectionOwner owner;
  private volatile FrameSeal sending;
  private FrameSeal receiving;

  /**
   * Wraps a connection.
   *
   * @param socket the connection
   * @param eventLoop the connection's event loop
   * @param handshake our side of the authentication
   * @param counters counts the traffic
   * @param control the control thread
   * @param owner hears what happens
   */
  PeerConnection(
      NetSocket socket,
      Executor eventLoop,
      Handshake handshake,
      PeerCounters counters,
      Executor control,
      ConnectionOwner owner) {
    this.socket = socket;
    this.eventLoop = eventLoop;
    this.handshake = handshake;
    this.counters = counters;
    this.control = control;
    this.owner = owner;
  }

  /** Starts the handshake. To be called on the event loop, before the first byte is read. */
  void start() {
    socket.handler(this::read);
    socket.drainHandler(ignored -> control.execute(() -> owner.drained(this)));
    socket.exceptionHandler(error -> LOGGER.log(Level.DEBUG, "peer: connection failed", error));
    socket.closeHandler(ignored -> control.execute(() -> owner.ended(this)));
    control.execute(() -> owner.opened(this));
    write(handshake.hello(), codec.encode(handshake.hello()));
  }

  @Override
  public boolean isFull() {
    return socket.writeQueueFull();
  }

  @Override
  public void write(PeerMessage message, byte[] encoded) {
    FrameSeal seal = sending;
    byte[] frame = Frame.wrap(seal == null ? encoded : seal.seal(encoded));
    counters.sent(kind(message), frame.length);
    socket.write(Buffer.buffer(frame));
  }

  @Override
  public void close() {
    socket.close();
  }

  private void read(Buffer chunk) {
    try {
      reader.append(chunk.getBytes());
      for (var next = reader.next(); next.isPresent(); next = reader.next()) {
        byte[] encoded = receiving == null ? next.get() : receiving.open(next.get());
        PeerMessage message = codec.decode(encoded);
        counters.received(kind(message), next.get().length + Frame.HEADER_BYTES);
        take(message);
      }
    } catch (FrameException | UndecodableException | HandshakeException error) {
      String why = socket.remoteAddress() + ", " + error.getMessage();
      control.execute(() -> owner.refused(this, why));
      counters.dropped("bad connection");
      socket.handler(ignored -> {});
      socket.close();
    }
  }

  private void take(PeerMessage message) throws HandshakeException {
    if (handshake.proved().isPresent()) {
      handOver(message);
      return;
    }
    Optional<PeerMessage.Proof> proof = handshake.received(message);
    proof.ifPresent(own -> write(own, codec.encode(own)));
    handshake
        .proved()
        .ifPresent(
            identity -> {
              reader.limit(Frame.MAX_MESSAGE_BYTES);
              receiving = handshake.receivingSeal();
              sending = handshake.sendingSeal();
              control.execute(() -> owner.authenticated(this, identity));
            });
  }

  // A peer may send faster than the control thread takes. Without the pause the messages would
  // pile up in its queue until the daemon is out of memory. Both calls are made on the event loop:
  // a resume from the control thread could overtake the pause, and the link would stay paused.
  private void handOver(PeerMessage message) {
    if (pending.incrementAndGet() == MAX_PENDING) {
      socket.pause();
    }
    control.execute(
        () -> {
          if (pending.decrementAndGet() == MAX_PENDING / 2) {
            eventLoop.execute(socket::resume);
          }
          owner.received(this, message);
        });
  }

  private static String kind(PeerMessage message) {
    return message.getClass().getSimpleName();
  }
}
