package org.hickorypier.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Queue;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.message.Frame;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Heartbeat;
import org.junit.jupiter.api.Test;

class PeerConnectionTest {

  private static final MessagePackCodec<PeerMessage> CODEC =
      new MessagePackCodec<>(PeerMessage.class);

  private final Queue<Runnable> control = new ArrayDeque<>();
  private final FakeSocket socket = new FakeSocket();
  private final Handshake other = handshake("entry-1", 1);
  private final Counting owner = new Counting();

  // The control thread is busy while a peer sends on and on. The socket is paused before the queue
  // of the control thread grows past its bound, and resumed once half of it is worked off.
  @Test
  void socketIsPausedWhileTheControlThreadIsBusy() throws Exception {
    FrameSeal seal = authenticate();
    int delivered = 0;
    while (!socket.paused && delivered < 1_000) {
      socket.deliver(Frame.wrap(seal.seal(CODEC.encode(new Heartbeat(1)))));
      delivered++;
    }

    assertThat(delivered).isEqualTo(256);
    for (int count = 0; count < 127; count++) {
      control.remove().run();
      assertThat(socket.paused).isTrue();
    }
    control.remove().run();
    assertThat(socket.paused).isFalse();
    control.forEach(Runnable::run);
    assertThat(owner.received).isEqualTo(256);
  }

  // Somebody sends what cannot be read, again and again on one connection. It is told to the owner,
  // who logs once in a while, and not logged each time; what comes after it is not read.
  @Test
  void unreadableBytesAreToldOnce() throws Exception {
    authenticate();
    for (int count = 0; count < 50; count++) {
      socket.deliver(new byte[] {0, 0, 0, 1, 9, 9});
    }
    control.forEach(Runnable::run);

    assertThat(owner.refused).isEqualTo(1);
  }

  private FrameSeal authenticate() throws Exception {
    PeerConnection connection =
        new PeerConnection(
            socket.socket,
            Runnable::run,
            handshake("entry-2", 2),
            PeerCounters.NONE,
            control::add,
            owner);
    connection.start();
    socket.deliver(RawPeer.frame(other.hello()));
    socket.deliver(RawPeer.frame(other.received(message(0)).orElseThrow()));
    other.received(message(1));
    control.forEach(Runnable::run);
    control.clear();
    return other.sendingSeal();
  }

  private PeerMessage message(int index) throws Exception {
    byte[] frame = socket.written.get(index);
    return CODEC.decode(Arrays.copyOfRange(frame, Frame.HEADER_BYTES, frame.length));
  }

  private static Handshake handshake(String name, int nonce) {
    byte[] nonceBytes = new byte[Handshake.NONCE_BYTES];
    Arrays.fill(nonceBytes, (byte) nonce);
    return new Handshake(PeerNode.SECRET, new PeerIdentity(name, 1), nonceBytes, any -> true);
  }

  private static final class Counting implements ConnectionOwner {
    private int received;
    private int refused;

    @Override
    public void opened(PeerConnection connection) {}

    @Override
    public void authenticated(PeerConnection connection, PeerIdentity identity) {}

    @Override
    public void received(PeerConnection connection, PeerMessage message) {
      received++;
    }

    @Override
    public void refused(PeerConnection connection, String why) {
      refused++;
    }

    @Override
    public void drained(PeerConnection connection) {}

    @Override
    public void ended(PeerConnection connection) {}
  }
}
