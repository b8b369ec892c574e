package org.hickorypier.wire;

import java.io.IOException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reader of byte arrays in MessagePack, which allocates no more than a message can hold: the length
 * that a message announces may be up to 2 GiB whatever its own size. Stateless and thread-safe.
 */
public final class BoundedBinary {

  private BoundedBinary() {}

  /**
   * Reads a byte array.
   *
   * @param unpacker stands before the length of the array
   * @param messageLength the length of the whole message, in bytes
   * @return the bytes
   * @throws UndecodableException if the announced length is greater than that of the message
   * @throws IOException if the message cannot be read
   */
  public static byte[] unpack(MessageUnpacker unpacker, int messageLength)
      throws IOException, UndecodableException {
    int length = unpacker.unpackBinaryHeader();
    if (length > messageLength) {
      throw new UndecodableException(
          "length of a byte array is " + length + "; allowed are at most " + messageLength, null);
    }
    return unpacker.readPayload(length);
  }
}
