package org.hickorypier.standins.worker;

import java.util.List;

/**
 * A worker's own record of everything that ran on it, to prove promises from.
 *
 * <p>Immutable.
 *
 * @param worker the worker
 * @param token the last control token granted
 * @param peakMilliProcessors the most processors reserved at one moment, in thousandths
 * @param peakMemoryMebibytes the most memory reserved at one moment
 * @param peakAccelerators the most accelerators reserved at one moment
 * @param peakTasks the most tasks at one moment
 * @param doubleStarts the keys of work that started here more than once, a retry included
 * @param dropped how many of the oldest starts are no longer listed
 * @param starts the starts in order
 */
public record WorkerHistory(
    WorkerProfile worker,
    long token,
    long peakMilliProcessors,
    long peakMemoryMebibytes,
    int peakAccelerators,
    int peakTasks,
    List<String> doubleStarts,
    long dropped,
    List<TaskHistory> starts) {

  /** Copies the lists. */
  public WorkerHistory {
    doubleStarts = List.copyOf(doubleStarts);
    starts = List.copyOf(starts);
  }

  /**
   * Tells whether the worker ever held more than it has.
   *
   * @return true if a peak exceeds the worker's size
   */
  public boolean overCapacity() {
    return peakMilliProcessors > worker.milliProcessors()
        || peakMemoryMebibytes > worker.memoryMebibytes()
        || peakAccelerators > worker.accelerators()
        || peakTasks > worker.slots();
  }
}
