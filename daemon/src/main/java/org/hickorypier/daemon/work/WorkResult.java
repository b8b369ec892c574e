package org.hickorypier.daemon.work;

import java.util.Optional;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Refusal;

/** The final answer to one piece of work. Immutable. */
public sealed interface WorkResult {

  /**
   * Returns the outcome in the terms told to callers.
   *
   * @return the outcome
   */
  Outcome outcome();

  /**
   * Returns why the work was not taken this time, and when to come back.
   *
   * @return empty if it was taken
   */
  default Optional<Refusal> refusal() {
    return Optional.empty();
  }

  /**
   * The work ran, or may have run. The bytes must not be changed.
   *
   * @param outcome completed, failed or unknown
   * @param detail a sentence for the caller, empty if completed
   * @param body the whole answer of the work, empty if there is none
   */
  record Answered(Outcome outcome, String detail, byte[] body) implements WorkResult {}

  /**
   * The work was certainly not run, neither by this try of its caller nor by an earlier one. Only a
   * home that knows who was home before may say so.
   *
   * @param cause why, and when to come back
   */
  record Refused(Refusal cause) implements WorkResult {
    @Override
    public Outcome outcome() {
      return Outcome.NOT_RUN;
    }

    @Override
    public Optional<Refusal> refusal() {
      return Optional.of(cause);
    }
  }

  /**
   * This try was not run, but an earlier one of the same caller may have been: nobody who can be
   * asked knows.
   *
   * @param cause why it was not run, and when to come back
   */
  record Unsettled(Refusal cause) implements WorkResult {
    @Override
    public Outcome outcome() {
      return Outcome.UNKNOWN;
    }

    @Override
    public Optional<Refusal> refusal() {
      return Optional.of(cause);
    }
  }
}
