package org.hickorypier.wire.message;

import java.nio.ByteBuffer;

/**
 * The frame format of peer connections: 4 bytes of length (big-endian, of what follows), 1 byte of
 * version, then one encoded {@link PeerMessage}. After the handshake a seal follows it.
 */
public final class Frame {

  /** The version written, and the only one read. */
  public static final byte VERSION = 1;

  /** Bytes before the encoded message. */
  public static final int HEADER_BYTES = 5;

  /** Bytes of the seal at the end of a frame, once both sides have proved who they are. */
  public static final int SEAL_BYTES = 8;

  /** Bytes of a frame beside the encoded message, once both sides have proved who they are. */
  public static final int OVERHEAD_BYTES = HEADER_BYTES + SEAL_BYTES;

  /**
   * The longest encoded message in one frame. Longer ones travel as {@link PeerMessage.Part}s, so
   * that a heartbeat never waits behind more than this; at 100 Mbit/s it is 6 ms.
   */
  public static final int MAX_MESSAGE_BYTES = 72 * 1024;

  /** The longest message in one frame before the other side has proved who it is. */
  public static final int MAX_HANDSHAKE_BYTES = 512;

  static final int LENGTH_BYTES = 4;

  private Frame() {}

  /**
   * Puts an encoded message into a frame.
   *
   * @param message the encoded message
   * @return the bytes to send
   * @throws IllegalArgumentException if it is longer than {@link #MAX_MESSAGE_BYTES}
   */
  public static byte[] wrap(byte[] message) {
    if (message.length > MAX_MESSAGE_BYTES) {
      throw new IllegalArgumentException("message of " + message.length + " bytes is too long");
    }
    return ByteBuffer.allocate(HEADER_BYTES + message.length)
        .putInt(message.length + HEADER_BYTES - LENGTH_BYTES)
        .put(VERSION)
        .put(message)
        .array();
  }
}
