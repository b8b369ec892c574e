package org.hickorypier.core.cell;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.hickorypier.wire.UndecodableException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack codec of the cancellations of one id that is not durable. Stateless, thus
 * thread-safe.
 */
public final class EarlyCancellationCodec {

  private EarlyCancellationCodec() {}

  /**
   * Encodes the cancellations of an id.
   *
   * @param cancelledAtMillis their wall-clock times, milliseconds since 1970, by customer
   * @return the encoded bytes
   */
  public static byte[] encode(Map<String, Long> cancelledAtMillis) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packMapHeader(cancelledAtMillis.size());
      for (Map.Entry<String, Long> each : cancelledAtMillis.entrySet()) {
        packer.packString(each.getKey()).packLong(each.getValue());
      }
      return packer.toByteArray();
    } catch (IOException error) {
      throw new IllegalStateException("cannot encode into a memory buffer", error);
    }
  }

  /**
   * Decodes the cancellations of an id.
   *
   * @param bytes the encoded bytes
   * @return their wall-clock times, milliseconds since 1970, by customer
   * @throws UndecodableException if the bytes are not valid cancellations
   */
  public static Map<String, Long> decode(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int count = unpacker.unpackMapHeader();
      Map<String, Long> cancelledAtMillis = new HashMap<>();
      for (int index = 0; index < count; index++) {
        cancelledAtMillis.put(unpacker.unpackString(), unpacker.unpackLong());
      }
      return cancelledAtMillis;
    } catch (IOException
        | MessagePackException
        | IllegalArgumentException
        | IndexOutOfBoundsException error) {
      throw new UndecodableException(bytes.length + " bytes are not valid cancellations", error);
    }
  }
}
