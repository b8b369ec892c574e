package org.hickorypier.core.cell;

import java.util.List;

/** What the owner of a cell orders. Called on the control thread only. */
public interface CellOutput {

  /**
   * Orders a start; the outcome comes back through {@link Cell#startAnswered}.
   *
   * @param run the run
   * @param deadline the order's deadline on the worker's clock, in milliseconds
   * @param ticket the advisor's ticket, or null if the queue has no advisor
   */
  void start(Run run, long deadline, String ticket);

  /**
   * Orders a stop; an answer comes back through {@link Cell#stopAnswered}.
   *
   * @param worker the worker
   * @param run the run
   */
  void stop(WorkerView worker, RunKey run);

  /**
   * Asks the advisor; the answer comes back through {@link Cell#adviceAnswered}.
   *
   * @param step the step
   * @param workers the workers to name
   * @return false if the advisor has too much to do already; nothing was asked then
   */
  boolean advise(StepRun step, List<WorkerView> workers);

  /**
   * Writes what must last of a submission, with the next write; {@link Cell#markDurable} follows.
   *
   * @param submission the submission
   */
  void save(Submission submission);

  /**
   * Drops what was written of a submission whose end state need not be told any longer.
   *
   * @param id the submission's id
   */
  void drop(String id);

  /**
   * Runs something once all that was handed to {@link #save} before is durable.
   *
   * @param action what to run, on the control thread
   */
  void afterSave(Runnable action);

  /**
   * Writes the list of workers that may hold runs, before the first start on a new one.
   *
   * @param entries the workers
   * @param written what to run once it is durable, on the control thread
   */
  void saveRoster(List<RosterEntry> entries, Runnable written);
}
