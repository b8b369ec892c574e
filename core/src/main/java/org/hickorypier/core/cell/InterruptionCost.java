package org.hickorypier.core.cell;

/**
 * What it costs to interrupt a run that saves its progress.
 *
 * <p>Immutable.
 *
 * @param stopMillis how long a worker may take to stop a run, in milliseconds
 * @param restoreMillis how long a run that resumes takes to restore its progress, in milliseconds
 * @param saveMillis the interval at which workers save the progress of a run, in milliseconds
 */
public record InterruptionCost(long stopMillis, long restoreMillis, long saveMillis) {

  /**
   * Returns the time that is lost at most: the work since the last save, the stop and the restore.
   *
   * @return the time in milliseconds
   */
  public long longestLossMillis() {
    return saveMillis + stopMillis + restoreMillis;
  }
}
