package org.hickorypier.core.journal;

import java.util.Optional;
import org.hickorypier.core.model.Outcome;

/**
 * One task of journaled work.
 *
 * <p>Belongs to the control thread; changed only by {@link Journal}. Invariant: at most one attempt
 * is open; a task with an outcome has none.
 */
public final class JournalTask {

  private int lastAttempt;
  private String lastWorker = "";
  private OpenAttempt open;
  private Outcome outcome;
  private String detail = "";
  private Outcome ranAs;
  private String ranDetail = "";

  JournalTask() {}

  /**
   * Returns the number of the last attempt.
   *
   * @return the number, 0 if there was none
   */
  public int lastAttempt() {
    return lastAttempt;
  }

  /**
   * Returns the worker of the last attempt, which may still hold its answer.
   *
   * @return the worker's name, empty if there was no attempt
   */
  public String lastWorker() {
    return lastWorker;
  }

  /**
   * Returns the attempt that may be running.
   *
   * @return the attempt, or empty if none is open
   */
  public Optional<OpenAttempt> open() {
    return Optional.ofNullable(open);
  }

  /**
   * Returns how the task ended.
   *
   * @return the outcome, or empty if it has not ended
   */
  public Optional<Outcome> outcome() {
    return Optional.ofNullable(outcome);
  }

  /**
   * Returns a sentence on its end.
   *
   * @return the sentence, empty if there is none
   */
  public String detail() {
    return detail;
  }

  void begin(OpenAttempt attempt) {
    open = attempt;
    lastAttempt = attempt.attempt();
    lastWorker = attempt.worker();
  }

  void close() {
    open = null;
  }

  /** Closes an attempt that is to be followed by another one. */
  void closeForRetry(Outcome attemptOutcome, String sentence) {
    open = null;
    if (attemptOutcome != Outcome.NOT_RUN) {
      ranAs = attemptOutcome;
      ranDetail = sentence;
    }
  }

  // A task whose first attempt ran and failed may be cancelled, or its second one may never start.
  // "Not run" would be untrue then: the caller would repeat work that has had its effects.
  void end(Outcome endedAs, String sentence) {
    open = null;
    boolean ranBefore = endedAs == Outcome.NOT_RUN && ranAs != null;
    outcome = ranBefore ? ranAs : endedAs;
    detail = ranBefore ? ranDetail : sentence;
  }
}
