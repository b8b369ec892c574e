package org.hickorypier.daemon.work;

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
   * The work ran, or may have run. The bytes must not be changed.
   *
   * @param outcome completed, failed or unknown
   * @param detail a sentence for the caller, empty if completed
   * @param body the whole answer of the work, empty if there is none
   */
  record Answered(Outcome outcome, String detail, byte[] body) implements WorkResult {}

  /**
   * The work was certainly not run.
   *
   * @param refusal why, and when to come back
   */
  record Refused(Refusal refusal) implements WorkResult {
    @Override
    public Outcome outcome() {
      return Outcome.NOT_RUN;
    }
  }
}
