package org.hickorypier.core.journal;

import java.util.Optional;
import org.hickorypier.core.model.Outcome;

/**
 * One task of journaled work.
 *
 * <p>Confined to the control thread; modified only by {@link Journal}. Invariant: at most one
 * attempt is open, and none if the task has an outcome.
 */
public final class JournalTask {

  private int lastAttempt;
  private String lastWorker = "";
  private OpenAttempt open;
  private Outcome outcome;
  private String detail = "";
  private Outcome earlierOutcome;
  private String earlierDetail = "";

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
   * Returns the worker of the last attempt, which may still hold its result.
   *
   * @return the worker's name, empty if there was no attempt
   */
  public String lastWorker() {
    return lastWorker;
  }

  /**
   * Returns the open attempt, which may be running.
   *
   * @return the attempt, or empty if none is open
   */
  public Optional<OpenAttempt> open() {
    return Optional.ofNullable(open);
  }

  /**
   * Returns the outcome of the task.
   *
   * @return the outcome, or empty if the task has not ended
   */
  public Optional<Outcome> outcome() {
    return Optional.ofNullable(outcome);
  }

  /**
   * Returns a sentence that explains the outcome.
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

  /** Closes an attempt that another attempt will follow. */
  void closeForRetry(Outcome attemptOutcome, String sentence) {
    open = null;
    if (attemptOutcome != Outcome.NOT_RUN) {
      earlierOutcome = attemptOutcome;
      earlierDetail = sentence;
    }
  }

  // After a first attempt ran and failed, the task may be cancelled, or its second attempt may
  // never start. NOT_RUN would be wrong then: the caller would repeat work that has had its
  // effects.
  void end(Outcome lastOutcome, String sentence) {
    open = null;
    boolean ranBefore = lastOutcome == Outcome.NOT_RUN && earlierOutcome != null;
    outcome = ranBefore ? earlierOutcome : lastOutcome;
    detail = ranBefore ? earlierDetail : sentence;
  }
}
