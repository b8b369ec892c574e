package org.hickorypier.cli.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One event of a log.
 *
 * <p>Immutable.
 *
 * @param timeMillis the instance's time of day, milliseconds since 1970
 * @param instance the instance
 * @param event part and name of the event
 * @param id the submission that it is about, or empty
 * @param details names and values of the other fields
 */
record TraceLine(long timeMillis, String instance, String event, String id, String details) {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Set<String> SHOWN_APART = Set.of("time", "instance", "part", "event", "id");

  /** Reads a line; whatever stands before its JSON object, such as a collector's stamp, is cut. */
  static Optional<TraceLine> parse(String text) {
    int brace = text.indexOf('{');
    if (brace < 0) {
      return Optional.empty();
    }
    JsonNode json;
    try {
      json = MAPPER.readTree(text.substring(brace));
    } catch (JsonProcessingException error) {
      // Other programs write to the same stream, and a line may be cut: it is no event.
      return Optional.empty();
    }
    if (!json.hasNonNull("event")) {
      return Optional.empty();
    }
    return Optional.of(
        new TraceLine(
            json.path("time").asLong(),
            json.path("instance").asText(),
            json.path("part").asText() + " " + json.path("event").asText(),
            json.path("id").asText(),
            details(json)));
  }

  private static String details(JsonNode json) {
    List<String> parts = new ArrayList<>();
    Iterator<Map.Entry<String, JsonNode>> fields = json.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      if (!SHOWN_APART.contains(field.getKey())) {
        parts.add(field.getKey() + "=" + field.getValue().asText());
      }
    }
    return String.join(" ", parts);
  }
}
