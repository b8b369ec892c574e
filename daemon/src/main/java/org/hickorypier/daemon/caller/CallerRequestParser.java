package org.hickorypier.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;

/** Parses and validates the JSON body of a caller's request. Thread-safe. */
public final class CallerRequestParser {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Pattern REQUEST_ID_PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,80}");
  private static final String REQUEST_ID_RULE =
      "1 to 80 letters, digits, points, colons, hyphens and underscores";
  private static final Set<String> FIELDS =
      Set.of(
          "team",
          "requestId",
          "class",
          "name",
          "idempotent",
          "processors",
          "memoryMebibytes",
          "accelerators",
          "tasks",
          "deadlineMillis",
          "runMillis",
          "payload");
  private static final double MAX_PROCESSORS = 1_024;
  private static final long MAX_MEMORY_MEBIBYTES = 16L * 1_024 * 1_024;
  private static final int MAX_ACCELERATORS = 64;
  private static final int MAX_TASKS = 1_000;
  private static final long MAX_DURATION_MILLIS = 7L * 24 * 60 * 60 * 1_000;
  private static final long DEFAULT_RUN_MILLIS = 1_000;
  private static final long DEFAULT_JOB_DEADLINE_MILLIS = 24L * 60 * 60 * 1_000;

  private final long defaultDeadlineMillis;

  /**
   * Creates a parser.
   *
   * @param defaultDeadlineMillis the deadline in milliseconds of synchronous requests that declare
   *     none
   */
  public CallerRequestParser(long defaultDeadlineMillis) {
    this.defaultDeadlineMillis = defaultDeadlineMillis;
  }

  /**
   * Parses a request.
   *
   * @param body the JSON body
   * @param classes the work classes allowed on the path of the request; the first is the default
   * @return the validated request
   * @throws BadRequestException if a field is missing, unknown or out of range
   */
  public CallerRequest parse(byte[] body, List<WorkClass> classes) throws BadRequestException {
    JsonNode root = readObject(body);
    checkFieldNames(root);
    WorkClass workClass = parseWorkClass(root, classes);
    long defaultDeadline =
        workClass.isSynchronous() ? defaultDeadlineMillis : DEFAULT_JOB_DEADLINE_MILLIS;
    double processors = parseDecimal(root, "processors", 0.1, 0.001, MAX_PROCESSORS);
    Resources resources =
        new Resources(
            Math.round(processors * 1_000),
            parseInteger(root, "memoryMebibytes", 64, 1, MAX_MEMORY_MEBIBYTES),
            (int) parseInteger(root, "accelerators", 0, 0, MAX_ACCELERATORS));
    return new CallerRequest(
        parseString(root, "team", ""),
        parseRequestId(root),
        workClass,
        parseString(root, "name", workClass.name().toLowerCase(Locale.ROOT)),
        parseBoolean(root, "idempotent"),
        resources,
        (int) parseInteger(root, "tasks", 1, 1, workClass.isSynchronous() ? 1 : MAX_TASKS),
        parseInteger(root, "deadlineMillis", defaultDeadline, 1, MAX_DURATION_MILLIS),
        parseInteger(root, "runMillis", DEFAULT_RUN_MILLIS, 1, MAX_DURATION_MILLIS),
        serializePayload(root));
  }

  private static JsonNode readObject(byte[] body) throws BadRequestException {
    try {
      JsonNode root = MAPPER.readTree(body);
      if (root == null || !root.isObject()) {
        throw new BadRequestException("body", "no object", "one JSON object");
      }
      return root;
    } catch (IOException error) {
      throw new BadRequestException("body", "unreadable text", "one JSON object");
    }
  }

  private static void checkFieldNames(JsonNode root) throws BadRequestException {
    var names = root.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      if (!FIELDS.contains(name)) {
        String known = String.join(", ", FIELDS.stream().sorted().toList());
        throw new BadRequestException("body", "field " + name, "only " + known);
      }
    }
  }

  private static WorkClass parseWorkClass(JsonNode root, List<WorkClass> classes)
      throws BadRequestException {
    String name = parseString(root, "class", classes.get(0).name());
    for (WorkClass candidate : classes) {
      if (candidate.name().equalsIgnoreCase(name)) {
        return candidate;
      }
    }
    String allowed = classes.toString().toLowerCase(Locale.ROOT);
    throw new BadRequestException("class", name, "one of " + allowed);
  }

  private static String parseRequestId(JsonNode root) throws BadRequestException {
    String id = parseString(root, "requestId", "");
    if (!REQUEST_ID_PATTERN.matcher(id).matches()) {
      throw new BadRequestException("requestId", "'" + id + "'", REQUEST_ID_RULE);
    }
    return id;
  }

  private static String parseString(JsonNode root, String field, String defaultValue)
      throws BadRequestException {
    JsonNode node = root.get(field);
    if (node == null) {
      return defaultValue;
    }
    if (!node.isTextual()) {
      throw new BadRequestException(field, node, "a string");
    }
    return node.textValue();
  }

  private static boolean parseBoolean(JsonNode root, String field) throws BadRequestException {
    JsonNode node = root.get(field);
    if (node == null) {
      return false;
    }
    if (!node.isBoolean()) {
      throw new BadRequestException(field, node, "true or false");
    }
    return node.booleanValue();
  }

  private static long parseInteger(
      JsonNode root, String field, long defaultValue, long min, long max)
      throws BadRequestException {
    JsonNode node = root.get(field);
    if (node == null) {
      return defaultValue;
    }
    boolean isIntegral = node.canConvertToLong() && node.canConvertToExactIntegral();
    if (!node.isNumber() || !isIntegral || node.longValue() < min || node.longValue() > max) {
      throw new BadRequestException(field, node, "a whole number from " + min + " to " + max);
    }
    return node.longValue();
  }

  private static double parseDecimal(
      JsonNode root, String field, double defaultValue, double min, double max)
      throws BadRequestException {
    JsonNode node = root.get(field);
    if (node == null) {
      return defaultValue;
    }
    if (!node.isNumber() || !(node.doubleValue() >= min) || !(node.doubleValue() <= max)) {
      throw new BadRequestException(field, node, "a number from " + min + " to " + max);
    }
    return node.doubleValue();
  }

  private static byte[] serializePayload(JsonNode root) throws BadRequestException {
    JsonNode node = root.get("payload");
    if (node == null) {
      return new byte[0];
    }
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException error) {
      throw new BadRequestException("payload", Arrays.asList(node), "any JSON value");
    }
  }
}
