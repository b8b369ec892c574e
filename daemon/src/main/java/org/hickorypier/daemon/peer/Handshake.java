package org.hickorypier.daemon.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.function.Predicate;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Hello;
import org.hickorypier.wire.message.PeerMessage.Proof;

/**
 * One side of the mutual authentication that opens every connection.
 *
 * <p>Both sides send a {@link Hello} with a fresh nonce, then a {@link Proof}: the HMAC-SHA256
 * under the shared secret over sender and receiver, each with name, incarnation and nonce.
 *
 * <p>A recorded handshake is of no use to a stranger, since our nonce is new on every connection.
 * Our own proof sent back to us is none either, since the sender comes first in it and our own name
 * is refused. Not thread safe.
 */
final class Handshake {

  static final int NONCE_BYTES = 32;

  private static final String PROOF = "hickorypier peer link 1 proof";
  private static final String FRAMES = "hickorypier peer link 1 frames";
  private static final int LONGEST_NAME = 128;

  private final byte[] secret;
  private final Hello own;
  private final Predicate<String> expected;
  private Hello other;
  private boolean done;

  /**
   * Creates the state before any message.
   *
   * @param secret the shared secret
   * @param own who we are
   * @param nonce fresh random bytes
   * @param expected which names may stand at the other end
   */
  Handshake(byte[] secret, PeerIdentity own, byte[] nonce, Predicate<String> expected) {
    this.secret = secret;
    this.own = new Hello(own.name(), own.incarnation(), nonce);
    this.expected = expected;
  }

  /** Returns the message to open with. */
  Hello hello() {
    return own;
  }

  /**
   * Takes in the next message of the other side.
   *
   * @param message the message
   * @return our proof, to be sent now, or empty if the other side has just shown who it is
   * @throws HandshakeException if it has not and the connection is to be closed
   */
  Optional<Proof> received(PeerMessage message) throws HandshakeException {
    if (other == null && message instanceof Hello hello) {
      check(hello);
      other = hello;
      return Optional.of(new Proof(hmac(PROOF, own, other)));
    }
    if (other != null && !done && message instanceof Proof proof) {
      // A comparison that stops at the first difference would tell by its time how much is right.
      if (!MessageDigest.isEqual(proof.hmac(), hmac(PROOF, other, own))) {
        throw new HandshakeException("wrong proof from " + other.name());
      }
      done = true;
      return Optional.empty();
    }
    throw new HandshakeException("unexpected " + message.getClass().getSimpleName());
  }

  /** Returns who stands at the other end, once that is proved. */
  Optional<PeerIdentity> proved() {
    return done
        ? Optional.of(new PeerIdentity(other.name(), other.incarnation()))
        : Optional.empty();
  }

  /** Returns what marks the frames that we send; only once the other side is proved. */
  FrameSeal sendingSeal() {
    return new FrameSeal(hmac(FRAMES, own, other));
  }

  /** Returns what checks the frames that we receive; only once the other side is proved. */
  FrameSeal receivingSeal() {
    return new FrameSeal(hmac(FRAMES, other, own));
  }

  private void check(Hello hello) throws HandshakeException {
    if (hello.nonce().length != NONCE_BYTES || hello.name().length() > LONGEST_NAME) {
      throw new HandshakeException("malformed greeting");
    }
    if (hello.name().equals(own.name()) || !expected.test(hello.name())) {
      throw new HandshakeException("did not expect " + hello.name() + " here");
    }
  }

  private byte[] hmac(String purpose, Hello sender, Hello receiver) {
    try {
      Mac mac = Mac.getInstance(FrameSeal.ALGORITHM);
      mac.init(new SecretKeySpec(secret, FrameSeal.ALGORITHM));
      mac.update(purpose.getBytes(StandardCharsets.UTF_8));
      update(mac, sender);
      update(mac, receiver);
      return mac.doFinal();
    } catch (GeneralSecurityException error) {
      throw new IllegalStateException("every Java platform has " + FrameSeal.ALGORITHM, error);
    }
  }

  // Every component has a fixed length or carries its own, so no two greetings run together alike.
  private static void update(Mac mac, Hello hello) {
    byte[] name = hello.name().getBytes(StandardCharsets.UTF_8);
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(name.length).array());
    mac.update(name);
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(hello.incarnation()).array());
    mac.update(hello.nonce());
  }
}
