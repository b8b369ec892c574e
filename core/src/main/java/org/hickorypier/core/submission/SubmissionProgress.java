package org.hickorypier.core.submission;

import java.util.BitSet;
import java.util.List;
import java.util.Map;

/**
 * Durable progress of a submission, which a new owner needs in addition to its specification.
 *
 * <p>Immutable by convention: the bit sets are copies that are never modified.
 *
 * @param state the terminal state, or {@link SubmissionState#QUEUED} or {@link
 *     SubmissionState#RUNNING} if the submission has not ended
 * @param endedAtMillis time of the terminal state, in milliseconds since the Unix epoch; 0 before
 * @param completedTasks the tasks that completed, one bit set per step, in order of occurrence and
 *     step
 * @param failedRuns numbers of the failed runs of each task, keyed by the task's position in the
 *     submission; a gang counts as one task, under its first member
 * @param crashes the tasks some of whose runs were lost with their workers, keyed in the same way
 * @param moves the tasks that were moved or are known to be long, keyed in the same way; at most
 *     {@link #MAX_MOVE_RECORDS}; earlier versions do not record them
 */
public record SubmissionProgress(
    SubmissionState state,
    long endedAtMillis,
    List<BitSet> completedTasks,
    Map<Integer, List<Integer>> failedRuns,
    Map<Integer, CrashRecord> crashes,
    Map<Integer, MoveRecord> moves) {

  /** The largest number of tasks whose moves are recorded; of others, nothing is known. */
  public static final int MAX_MOVE_RECORDS = 1_000;

  /**
   * Creates the progress of a submission none of whose runs were lost with their workers.
   *
   * @param state the state
   * @param endedAtMillis time of the terminal state, or 0
   * @param completedTasks the tasks that completed
   * @param failedRuns numbers of the failed runs of each task
   */
  public SubmissionProgress(
      SubmissionState state,
      long endedAtMillis,
      List<BitSet> completedTasks,
      Map<Integer, List<Integer>> failedRuns) {
    this(state, endedAtMillis, completedTasks, failedRuns, Map.of(), Map.of());
  }

  /**
   * Creates the progress of a submission none of whose tasks were moved or are known to be long.
   *
   * @param state the state
   * @param endedAtMillis time of the terminal state, or 0
   * @param completedTasks the tasks that completed
   * @param failedRuns numbers of the failed runs of each task
   * @param crashes the tasks some of whose runs were lost with their workers
   */
  public SubmissionProgress(
      SubmissionState state,
      long endedAtMillis,
      List<BitSet> completedTasks,
      Map<Integer, List<Integer>> failedRuns,
      Map<Integer, CrashRecord> crashes) {
    this(state, endedAtMillis, completedTasks, failedRuns, crashes, Map.of());
  }
}
