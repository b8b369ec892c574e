package org.hickorypier.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Turns one family of plain objects into MessagePack bytes and back.
 *
 * <p>Thread safe. A record is an array of its components, so new components go to the end and older
 * readers pass over them.
 *
 * @param <T> the sealed interface of the family
 */
public final class MessagePackCodec<T> {

  private static final ObjectMapper MAPPER =
      new MessagePackMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private final Class<T> family;

  /**
   * Creates a codec.
   *
   * @param family the sealed interface of the family
   */
  public MessagePackCodec(Class<T> family) {
    this.family = family;
  }

  /**
   * Encodes one object.
   *
   * @param value the object
   * @return its bytes
   */
  public byte[] encode(T value) {
    try {
      return MAPPER.writerFor(family).writeValueAsBytes(value);
    } catch (JsonProcessingException error) {
      throw new IllegalArgumentException("cannot encode " + value, error);
    }
  }

  /**
   * Decodes one object.
   *
   * @param bytes its bytes, nothing before or after them
   * @return the object
   * @throws UndecodableException if the bytes are no such object
   */
  public T decode(byte[] bytes) throws UndecodableException {
    try {
      checkStructure(bytes);
      T value = MAPPER.readValue(bytes, family);
      if (value == null) {
        throw new UndecodableException("empty value for " + family.getSimpleName(), null);
      }
      return value;
    } catch (IOException | RuntimeException | StackOverflowError error) {
      throw new UndecodableException(
          bytes.length + " bytes are no " + family.getSimpleName(), error);
    }
  }

  // A truncated or hostile value may announce a byte string of 2 GB. The binding would allocate
  // that much before it saw the end of the input, and the daemon would run out of memory. Skipping
  // over the value allocates nothing and fails where the input ends, so afterwards every announced
  // length is known to lie within the input.
  private static void checkStructure(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.hasNext()) {
        throw new IOException("trailing bytes");
      }
    }
  }
}
