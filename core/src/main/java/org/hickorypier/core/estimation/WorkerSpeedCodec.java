package org.hickorypier.core.estimation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.wire.UndecodableException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** MessagePack codec of the worker speeds in the store. Stateless, thus thread-safe. */
public final class WorkerSpeedCodec {

  /** Version of the format; a reader that meets another one learns the speeds anew. */
  private static final int VERSION = 1;

  private WorkerSpeedCodec() {}

  /**
   * Encodes worker speeds.
   *
   * @param speeds the speeds
   * @return the encoded bytes
   */
  public static byte[] encode(List<WorkerSpeed> speeds) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(VERSION).packArrayHeader(speeds.size());
      for (WorkerSpeed speed : speeds) {
        packer.packString(speed.id()).packString(speed.service()).packString(speed.kind());
        packer.packLong(speed.bornMillis());
        packer.packFloat((float) speed.factor()).packFloat((float) speed.samples());
      }
      return packer.toByteArray();
    } catch (IOException error) {
      throw new IllegalStateException("cannot encode into a memory buffer", error);
    }
  }

  /**
   * Decodes worker speeds.
   *
   * @param bytes the encoded bytes
   * @return the speeds
   * @throws UndecodableException if the bytes are not valid worker speeds
   */
  public static List<WorkerSpeed> decode(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int version = unpacker.unpackInt();
      if (version != VERSION) {
        throw new UndecodableException("unknown version of the worker speeds: " + version, null);
      }
      int count = unpacker.unpackArrayHeader();
      List<WorkerSpeed> speeds = new ArrayList<>();
      for (int index = 0; index < count; index++) {
        speeds.add(
            new WorkerSpeed(
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackFloat(),
                unpacker.unpackFloat()));
      }
      return speeds;
    } catch (IOException
        | MessagePackException
        | IllegalArgumentException
        | IndexOutOfBoundsException error) {
      throw new UndecodableException(bytes.length + " bytes are not valid worker speeds", error);
    }
  }
}
