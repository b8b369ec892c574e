package org.hickorypier.core.cell;

import java.util.List;
import java.util.Map;

/** Receives the orders and writes of a {@link Cell}. Called on the control thread only. */
public interface CellOutput {

  /**
   * Sends a start order; its outcome is reported through {@link Cell#startAnswered}.
   *
   * @param run the run
   * @param deadline the order's deadline on the worker's clock, in milliseconds
   * @param ticket the advisor's ticket, or null if the queue has no advisor
   */
  void start(Run run, long deadline, String ticket);

  /**
   * Sends a stop order; an answer is reported through {@link Cell#stopAnswered}.
   *
   * @param worker the worker
   * @param run the run
   */
  void stop(WorkerView worker, RunKey run);

  /**
   * Requests advice; the answer is reported through {@link Cell#adviceAnswered}.
   *
   * @param step the step
   * @param workers the workers to name in the request
   * @return false if too many requests are pending, and none was sent
   */
  boolean advise(StepRun step, List<WorkerView> workers);

  /**
   * Stores a submission with the next write; {@link Cell#markDurable} is called afterwards.
   *
   * @param submission the submission
   */
  void save(Submission submission);

  /**
   * Replaces the stored specification of a submission whose end state is durable.
   *
   * @param id the submission's id
   * @param spec the encoded specification to store
   */
  void saveEnded(String id, byte[] spec);

  /**
   * Deletes the stored state of a submission whose retention time is over.
   *
   * @param id the submission's id
   */
  void drop(String id);

  /**
   * Stores the early cancellations of a submission's id in place of those stored before.
   *
   * @param id the submission's id
   * @param cancelledAtMillis their wall-clock times, milliseconds since 1970, by customer; empty to
   *     delete the stored ones
   */
  void saveEarlyCancellations(String id, Map<String, Long> cancelledAtMillis);

  /**
   * Runs an action once all submissions passed to {@link #save} before are durable.
   *
   * @param action the action, which runs on the control thread
   */
  void afterSave(Runnable action);

  /**
   * Stores the speeds of the workers for a successor; without them it learns the speeds anew.
   *
   * @param record the encoded speeds
   */
  default void saveSpeeds(byte[] record) {}

  /**
   * Writes the workers that may hold runs; called before the first start on a new worker.
   *
   * @param entries the workers
   * @param written the action to run on the control thread once the roster is durable
   */
  void saveRoster(List<RosterEntry> entries, Runnable written);
}
