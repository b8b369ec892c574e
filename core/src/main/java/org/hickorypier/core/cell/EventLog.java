package org.hickorypier.core.cell;

/**
 * Records a structured event for each decision that affects a request or changes the state of the
 * process.
 *
 * <p>Implementations are thread-safe and bounded, and never block.
 */
@FunctionalInterface
public interface EventLog {

  /**
   * Records an event.
   *
   * @param part the component that took the decision
   * @param event the name of the event
   * @param fields alternating names and values
   */
  void event(String part, String event, Object... fields);
}
