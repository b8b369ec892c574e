package org.hickorypier.core.cell;

/**
 * The answer to an order to start a run.
 *
 * <p>Immutable.
 *
 * @param outcome the outcome
 * @param clockMillis the worker's clock when it answered, in milliseconds; {@link #NO_READING} if
 *     the answer does not tell
 */
public record StartAnswer(StartOutcome outcome, long clockMillis) {

  /** Marks an answer without a reading of the worker's clock. */
  public static final long NO_READING = -1;

  /** No answer arrived in time. */
  public static final StartAnswer MISSING = of(StartOutcome.UNKNOWN);

  /**
   * Creates an answer without a reading of the worker's clock.
   *
   * @param outcome the outcome
   * @return the answer
   */
  public static StartAnswer of(StartOutcome outcome) {
    return new StartAnswer(outcome, NO_READING);
  }

  /**
   * Returns the answer with another outcome.
   *
   * @param other the outcome
   * @return the answer
   */
  public StartAnswer withOutcome(StartOutcome other) {
    return new StartAnswer(other, clockMillis);
  }
}
