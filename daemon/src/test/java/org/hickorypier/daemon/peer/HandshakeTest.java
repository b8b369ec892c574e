package org.hickorypier.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import org.hickorypier.wire.message.PeerMessage.Heartbeat;
import org.hickorypier.wire.message.PeerMessage.Hello;
import org.hickorypier.wire.message.PeerMessage.Proof;
import org.junit.jupiter.api.Test;

class HandshakeTest {

  private static final byte[] SECRET = "the secret of all the instances".getBytes();

  private final Handshake dialer = handshake("entry-1", SECRET, 1, "entry-2");
  private final Handshake listener = handshake("entry-2", SECRET, 2, "entry-1");

  @Test
  void bothSidesProveThemselves() throws Exception {
    Proof dialerProof = dialer.received(listener.hello()).orElseThrow();
    final Proof listenerProof = listener.received(dialer.hello()).orElseThrow();
    listener.received(dialerProof);
    assertThat(listener.proved()).contains(new PeerIdentity("entry-1", 1));
    assertThat(dialer.proved()).isEmpty();
    dialer.received(listenerProof);
    assertThat(dialer.proved()).contains(new PeerIdentity("entry-2", 1));
  }

  @Test
  void wrongSecretIsRefused() throws Exception {
    Handshake stranger = handshake("entry-1", Arrays.copyOf(SECRET, 20), 1, "entry-2");
    listener.received(stranger.hello());
    Proof proof = stranger.received(listener.hello()).orElseThrow();

    assertRefused(listener, proof);
  }

  // A stranger records a whole handshake and plays the dialer's half again. The listener's nonce is
  // another one this time, so the recorded proof is wrong.
  @Test
  void replayedHandshakeIsRefused() throws Exception {
    Proof recorded = dialer.received(listener.hello()).orElseThrow();
    Handshake listenerLater = handshake("entry-2", SECRET, 3, "entry-1");
    listenerLater.received(dialer.hello());

    assertRefused(listenerLater, recorded);
  }

  // A stranger without the secret sends our own greeting and proof back to us, or greets under
  // another name and returns our proof to it.
  @Test
  void reflectedHandshakeIsRefused() throws Exception {
    Handshake trusting =
        new Handshake(SECRET, new PeerIdentity("entry-2", 1), new byte[32], name -> true);
    assertThatThrownBy(() -> trusting.received(trusting.hello()))
        .isInstanceOf(HandshakeException.class);

    Handshake fresh = handshake("entry-2", SECRET, 2, "entry-1");
    Hello disguised = new Hello("entry-1", 1, fresh.hello().nonce());
    assertRefused(fresh, fresh.received(disguised).orElseThrow());
  }

  @Test
  void otherInstanceThanDialledIsRefused() {
    assertThatThrownBy(() -> dialer.received(new Hello("entry-3", 1, new byte[32])))
        .isInstanceOf(HandshakeException.class);
  }

  @Test
  void messagesOutOfTurnAreRefused() throws Exception {
    assertRefused(handshake("entry-2", SECRET, 2, "entry-1"), new Proof(new byte[32]));
    assertThatThrownBy(() -> listener.received(new Heartbeat(1)))
        .isInstanceOf(HandshakeException.class);
    listener.received(dialer.hello());
    assertThatThrownBy(() -> listener.received(dialer.hello()))
        .isInstanceOf(HandshakeException.class);
    assertThatThrownBy(() -> dialer.received(new Hello("entry-2", 1, new byte[31])))
        .isInstanceOf(HandshakeException.class);
  }

  private static void assertRefused(Handshake handshake, Proof proof) {
    assertThatThrownBy(() -> handshake.received(proof)).isInstanceOf(HandshakeException.class);
    assertThat(handshake.proved()).isEmpty();
  }

  private static Handshake handshake(String name, byte[] secret, int nonce, String expected) {
    byte[] nonceBytes = new byte[Handshake.NONCE_BYTES];
    Arrays.fill(nonceBytes, (byte) nonce);
    return new Handshake(secret, new PeerIdentity(name, 1), nonceBytes, expected::equals);
  }
}
