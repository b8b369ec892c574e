package org.hickorypier.daemon.report;

/**
 * What is counted of one event.
 *
 * <p>Immutable.
 *
 * @param part the part of the program that decided
 * @param event what happened
 * @param outcome how, or empty
 * @param customer for whom, or empty
 * @param queue in which queue, or empty
 * @param durationMillis the time that the event tells of, in milliseconds, or -1
 */
record EventSample(
    String part, String event, String outcome, String customer, String queue, long durationMillis) {

  private static final String NONE = "";

  /** Takes what is counted out of an event's fields, names and values by turns. */
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
          // Ids and texts would make a series of their own each; they stand in the log.
        }
      }
    }
    return new EventSample(part, event, outcome, customer, queue, tookMillis);
  }
}
