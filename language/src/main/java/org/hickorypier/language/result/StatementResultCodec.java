package org.hickorypier.language.result;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Turns results into JSON and back. Thread safe. Fields that it does not know are passed over. */
public final class StatementResultCodec {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  /**
   * Encodes a result.
   *
   * @param result the result
   * @return its JSON, on one line
   */
  public String encode(StatementResult result) {
    try {
      return MAPPER.writerFor(StatementResult.class).writeValueAsString(result);
    } catch (JsonProcessingException error) {
      throw new IllegalArgumentException("cannot encode a result", error);
    }
  }

  /**
   * Decodes a result.
   *
   * @param json its JSON
   * @return the result
   * @throws ResultFormatException if the text is no result
   */
  public StatementResult decode(String json) throws ResultFormatException {
    try {
      StatementResult result = MAPPER.readValue(json, StatementResult.class);
      if (result == null) {
        throw new ResultFormatException(null);
      }
      return result;
    } catch (JsonProcessingException error) {
      throw new ResultFormatException(error);
    }
  }
}
