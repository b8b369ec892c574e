package org.hickorypier.wire.message;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts the bytes of one peer connection into frames.
 *
 * <p>Invariant: it holds no more than the bytes that have arrived, and none past a header that
 * announces too much. Not thread safe. After a {@link FrameException} the connection is to be
 * closed.
 */
public final class FrameReader {

  private static final int UNSIGNED_BYTE = 0xff;

  private byte[] bytes = {};
  private int start;
  private int limit;

  /**
   * Creates a reader.
   *
   * @param limit the longest encoded message that it takes
   */
  public FrameReader(int limit) {
    this.limit = limit;
  }

  /**
   * Changes the limit, from the next frame on.
   *
   * @param messageBytes the longest encoded message that it takes
   */
  public void limit(int messageBytes) {
    this.limit = messageBytes;
  }

  /**
   * Takes in what has arrived.
   *
   * @param chunk the next bytes of the connection
   */
  public void append(byte[] chunk) {
    int kept = bytes.length - start;
    byte[] joined = Arrays.copyOfRange(bytes, start, start + kept + chunk.length);
    System.arraycopy(chunk, 0, joined, kept, chunk.length);
    bytes = joined;
    start = 0;
  }

  /**
   * Takes out the next whole frame.
   *
   * @return the encoded message, or empty if more bytes must come first
   * @throws FrameException if the length or the version is out of bounds
   */
  public Optional<byte[]> next() throws FrameException {
    int available = bytes.length - start;
    if (available < Frame.LENGTH_BYTES) {
      return Optional.empty();
    }
    int length = ByteBuffer.wrap(bytes, start, Frame.LENGTH_BYTES).getInt();
    int versionBytes = Frame.HEADER_BYTES - Frame.LENGTH_BYTES;
    // A hostile or broken sender announces up to 4 GB. Checked here, before anything is set aside
    // for the frame, it costs the daemon what was sent and nothing more.
    if (length <= versionBytes || length > limit + versionBytes) {
      throw new FrameException("frame of " + Integer.toUnsignedString(length) + " bytes");
    }
    if (available >= Frame.HEADER_BYTES) {
      checkVersion(bytes[start + Frame.LENGTH_BYTES]);
    }
    if (available - Frame.LENGTH_BYTES < length) {
      return Optional.empty();
    }
    int from = start + Frame.HEADER_BYTES;
    start += Frame.LENGTH_BYTES + length;
    return Optional.of(Arrays.copyOfRange(bytes, from, start));
  }

  private static void checkVersion(byte version) throws FrameException {
    if (version != Frame.VERSION) {
      throw new FrameException("frame of version " + (version & UNSIGNED_BYTE));
    }
  }
}
