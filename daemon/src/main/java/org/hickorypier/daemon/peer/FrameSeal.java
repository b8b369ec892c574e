package org.hickorypier.daemon.peer;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.hickorypier.wire.message.Frame;
import org.hickorypier.wire.message.FrameException;

/**
 * Marks the frames of one direction of an authenticated connection, or checks the marks.
 *
 * <p>Failure it is for: somebody between two instances passes their handshake on and then adds,
 * changes, repeats or leaves out frames. Each frame ends with a part of the HMAC-SHA256 over its
 * number and content, under a key that only the two ends can work out and that is new for each
 * connection. The first frame that does not fit ends the connection, so a guess has one try in
 * 2^64.
 *
 * <p>Not thread safe; the frames must come in order.
 */
final class FrameSeal {

  static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;
  private long frames;

  FrameSeal(byte[] key) {
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
    } catch (GeneralSecurityException error) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, error);
    }
  }

  /** Returns the encoded message with its mark behind it. */
  byte[] seal(byte[] encoded) {
    byte[] sealed = Arrays.copyOf(encoded, encoded.length + Frame.SEAL_BYTES);
    System.arraycopy(mark(encoded, encoded.length), 0, sealed, encoded.length, Frame.SEAL_BYTES);
    return sealed;
  }

  /**
   * Returns the encoded message without its mark.
   *
   * @throws FrameException if the mark does not fit
   */
  byte[] open(byte[] sealed) throws FrameException {
    int length = sealed.length - Frame.SEAL_BYTES;
    if (length < 0) {
      throw new FrameException("frame without a seal");
    }
    byte[] claimed = Arrays.copyOfRange(sealed, length, sealed.length);
    if (!MessageDigest.isEqual(claimed, mark(sealed, length))) {
      throw new FrameException("frame with a wrong seal");
    }
    return Arrays.copyOf(sealed, length);
  }

  private byte[] mark(byte[] bytes, int length) {
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(frames).array());
    frames++;
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(), Frame.SEAL_BYTES);
  }
}
