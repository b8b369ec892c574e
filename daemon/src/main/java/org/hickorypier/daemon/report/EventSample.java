package org.hickorypier.daemon.report;

/**
 * The labels and duration of one event, for metrics.
 *
 * <p>Immutable.
 *
 * @param part the component that logs the event
 * @param event the name of the event
 * @param outcome the outcome, or empty
 * @param customer the customer, or empty
 * @param queue the queue, or empty
 * @param durationMillis the duration that the event reports, in milliseconds, or -1
 */
record EventSample(
    String part, String event, String outcome, String customer, String queue, long durationMillis) {

  private static final String NONE = "";

  /** Extracts the sample from an event's fields, which alternate between names and values. */
  static EventSample of(String part, String event, Object... fields) {
    String outcome = NONE;
    String customer = NONE;
    String queue = NONE;
    long tookMillis = -1;
    for (int index = 0; index + 1 < fields.length; index += 2) {
      Object value = fields[index + 1];
      switch (String.valueOf(fields[index])) {
        case "outcome", "how", "status" -> outcome = String.valueOf(value);
        case "customer" -> customer = String.valueOf(value);
        case "queue" -> queue = String.valueOf(value);
        case "took_ms", "waited_ms" ->
            tookMillis = value instanceof Number time ? time.longValue() : -1;
        default -> {
          // Each distinct id or text would create a time series; these are only in the log.
        }
      }
    }
    return new EventSample(part, event, outcome, customer, queue, tookMillis);
  }
}
