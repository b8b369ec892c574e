package org.hickorypier.core.estimation;

import java.util.Arrays;

/**
 * The run times of one step's completed tasks, against which each of them is compared.
 *
 * <p>The tasks of a step are alike, so their run times show the speeds of the workers without any
 * estimate by the caller. Mutable; confined to the control thread.
 */
public final class StepSamples {

  /** Number of the latest runs that are compared; the median of more is hardly more accurate. */
  private static final int MAX_SAMPLES = 32;

  private static final int FIRST_CAPACITY = 4;

  /**
   * Largest difference of the logarithms of two middle values that are averaged. Beyond it, a
   * factor of 2.5, one of two tasks is long by itself, so the shorter one is the reference.
   */
  private static final double MAX_MIDDLE_GAP = 0.9;

  private WorkerRating[] workers = new WorkerRating[FIRST_CAPACITY];
  private double[] logMillis = new double[FIRST_CAPACITY];
  private double[] sorted = new double[0];
  private int size;
  private int next;
  private long sortedInSweep = -1;

  /** Creates the samples of a step of which no run has ended. */
  public StepSamples() {}

  void add(WorkerRating worker, double runLogMillis) {
    if (next == logMillis.length && next < MAX_SAMPLES) {
      logMillis = Arrays.copyOf(logMillis, Math.min(MAX_SAMPLES, 2 * next));
      workers = Arrays.copyOf(workers, logMillis.length);
    }
    next %= MAX_SAMPLES;
    workers[next] = worker;
    logMillis[next] = runLogMillis;
    next++;
    size = Math.max(size, next);
  }

  /** Sorts the run times at the usual speed, once in each sweep over all workers. */
  void prepare(long sweep) {
    if (sweep == sortedInSweep) {
      return;
    }
    sortedInSweep = sweep;
    if (sorted.length != size) {
      sorted = new double[size];
    }
    for (int index = 0; index < size; index++) {
      sorted[index] = logMillis[index] - workers[index].logFactor;
    }
    Arrays.sort(sorted);
  }

  /**
   * Returns the median of the other tasks' run times at the usual speed.
   *
   * @param own the logarithm of the run time at the usual speed that is left out
   * @return the logarithm of the median, or NaN if there is no other task
   */
  double medianOfOthers(double own) {
    int ownIndex = Arrays.binarySearch(sorted, own);
    // A sample that is no longer among the latest ones is compared with all of them.
    int others = ownIndex < 0 ? sorted.length : sorted.length - 1;
    if (others == 0) {
      return Double.NaN;
    }
    int left = ownIndex < 0 ? sorted.length : ownIndex;
    double lower = sorted[skip((others - 1) / 2, left)];
    double upper = sorted[skip(others / 2, left)];
    return upper - lower > MAX_MIDDLE_GAP ? lower : (lower + upper) / 2;
  }

  private static int skip(int index, int leftOut) {
    return index < leftOut ? index : index + 1;
  }
}
