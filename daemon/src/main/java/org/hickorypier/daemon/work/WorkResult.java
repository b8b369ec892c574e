package org.hickorypier.daemon.work;

import java.util.Optional;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Refusal;

/** The final answer to a work item. Immutable. */
public sealed interface WorkResult {

  /**
   * Returns the outcome as reported to callers.
   *
   * @return the outcome
   */
  Outcome outcome();

  /**
   * Returns why this try of the work was refused, and when to retry.
   *
   * @return empty if the try was accepted
   */
  default Optional<Refusal> refusal() {
    return Optional.empty();
  }

  /**
   * The work ran, or may have run. The bytes must not be changed.
   *
   * @param outcome completed, failed or unknown
   * @param detail a message for the caller, empty if completed
   * @param body the whole answer of the work, empty if there is none
   */
  record Answered(Outcome outcome, String detail, byte[] body) implements WorkResult {}

  /**
   * The work was certainly not run, neither by this try of its caller nor by an earlier one. Only a
   * home that knows which instances were home before may return this result.
   *
   * @param cause why the work was not run, and when to retry
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
   * This try was not run, but an earlier try of the same caller may have been: no reachable
   * instance knows.
   *
   * @param cause why this try was not run, and when to retry
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
