package org.hickorypier.daemon.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.message.Frame;
import org.hickorypier.wire.message.PeerMessage;

/** A plain socket to a peer port, for sending what no correct peer would. */
final class RawPeer implements AutoCloseable {

  private static final MessagePackCodec<PeerMessage> CODEC =
      new MessagePackCodec<>(PeerMessage.class);

  private final Socket socket;
  private final DataInputStream input;
  private FrameSeal sending;
  private FrameSeal receiving;

  RawPeer(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(5_000);
    input = new DataInputStream(socket.getInputStream());
  }

  static byte[] encode(PeerMessage message) {
    return CODEC.encode(message);
  }

  static byte[] frame(PeerMessage message) {
    return Frame.wrap(encode(message));
  }

  /** Sends bytes; a connection that was closed meanwhile is what the caller is after. */
  void send(byte[] bytes) {
    try {
      socket.getOutputStream().write(bytes);
    } catch (IOException error) {
      // Closed by the other side.
    }
  }

  /** Seals an encoded message and puts it into a frame, as the next one to be sent. */
  byte[] sealedFrame(byte[] encoded) {
    return Frame.wrap(sending.seal(encoded));
  }

  /** Reads the next message, or returns null if the connection was closed. */
  PeerMessage read() throws Exception {
    byte[] bytes = readFrame();
    if (bytes == null) {
      return null;
    }
    return CODEC.decode(receiving == null ? bytes : receiving.open(bytes));
  }

  /** Reads what the next frame holds, or returns null if the connection was closed. */
  byte[] readFrame() throws IOException {
    try {
      byte[] bytes = new byte[input.readInt() - 1];
      input.readByte();
      input.readFully(bytes);
      return bytes;
    } catch (java.net.SocketTimeoutException error) {
      throw error;
    } catch (IOException closed) {
      return null;
    }
  }

  /** Waits until the other side closes, whatever it sends before. */
  boolean isClosedByOther() throws Exception {
    while (read() != null) {
      // What was on the way before the end does not matter.
    }
    return true;
  }

  /** Goes through the handshake as a peer that knows the secret. */
  void authenticate(PeerIdentity identity, byte[] secret) throws Exception {
    Handshake handshake =
        new Handshake(secret, identity, new byte[Handshake.NONCE_BYTES], name -> true);
    send(frame(handshake.hello()));
    send(frame(handshake.received(read()).orElseThrow()));
    handshake.received(read());
    sending = handshake.sendingSeal();
    receiving = handshake.receivingSeal();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
