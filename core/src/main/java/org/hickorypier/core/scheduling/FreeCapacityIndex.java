package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.hickorypier.core.model.Resources;

/**
 * Index of the open workers by free resources, in buckets of equal free accelerators, processors
 * and memory.
 *
 * <p>The index serves thousands of starts a second over thousands of workers. A lookup visits rows
 * of buckets, whose number is fixed, rather than workers, and an update moves one worker between
 * two buckets, so the cost of a decision hardly depends on the number of workers. Members are tried
 * one by one only in the lowest buckets of a lookup, where some have slightly less free than
 * needed.
 *
 * <p>Invariant: every indexed worker is in the bucket of its current free resources. Confined to
 * the control thread.
 */
final class FreeCapacityIndex {

  /** Memory levels, one for each bit of a row's mask of occupied buckets. */
  private static final int MEMORY_LEVELS = Long.SIZE;

  /** Levels of 250 milli-processors each are exact for workers of up to 16 processors. */
  private static final int PROCESSOR_LEVELS = 65;

  /** Target workers have at most 8 accelerators; workers above the last level share it. */
  private static final int ACCELERATOR_LEVELS = 17;

  /**
   * Weight of the imbalance between free processors and free memory. At 1 the packing is no better
   * than first fit on 7 of 20 seeds; at 4 it is better on all of them, with and without large
   * tasks; from 8 upwards the worst seed with large tasks gets worse again.
   */
  private static final double IMBALANCE_WEIGHT = 4;

  private static final long MIN_MILLI_PROCESSORS_PER_LEVEL = 250;
  private static final long MIN_MEMORY_MEBIBYTES_PER_LEVEL = 256;

  private final Scope scope;
  private final Row[] rows = new Row[ACCELERATOR_LEVELS * PROCESSOR_LEVELS];
  private final int[] workersByAccelerators = new int[ACCELERATOR_LEVELS];
  private long milliProcessorsPerLevel = MIN_MILLI_PROCESSORS_PER_LEVEL;
  private long memoryMebibytesPerLevel = MIN_MEMORY_MEBIBYTES_PER_LEVEL;
  private long largestMilliProcessors = 1;
  private long largestMemoryMebibytes = 1;
  private double processorLevelFraction;
  private double memoryLevelFraction;

  /** The workers that an index covers; a worker is in at most one index of each scope. */
  enum Scope {
    FLEET,
    DATA_CENTRE
  }

  /** Location of a worker in an index: its row, its bucket and its offset in the bucket. */
  static final class Position {
    private final int row;
    private final int bucket;
    private int offset;

    private Position(int row, int bucket, int offset) {
      this.row = row;
      this.bucket = bucket;
      this.offset = offset;
    }
  }

  private static final class Row {
    private long occupiedBuckets;
    private final List<List<WorkerState>> buckets = new ArrayList<>();

    private Row() {
      for (int i = 0; i < MEMORY_LEVELS; i++) {
        buckets.add(null);
      }
    }
  }

  FreeCapacityIndex(Scope scope) {
    this.scope = scope;
  }

  /**
   * Returns whether a capacity exceeds the range of the levels. If so, the caller must remove all
   * workers, widen the levels, and add the workers again.
   */
  boolean needsWiderLevels(Resources capacity) {
    return capacity.milliProcessors() > milliProcessorsPerLevel * (PROCESSOR_LEVELS - 1)
        || capacity.memoryMebibytes() > memoryMebibytesPerLevel * MEMORY_LEVELS;
  }

  /** Includes a capacity in the largest worker, which scores are relative to. */
  void includeCapacity(Resources capacity) {
    largestMilliProcessors = Math.max(largestMilliProcessors, capacity.milliProcessors());
    largestMemoryMebibytes = Math.max(largestMemoryMebibytes, capacity.memoryMebibytes());
    processorLevelFraction = (double) milliProcessorsPerLevel / largestMilliProcessors;
    memoryLevelFraction = (double) memoryMebibytesPerLevel / largestMemoryMebibytes;
  }

  void widenLevels(Resources capacity) {
    while (capacity.milliProcessors() > milliProcessorsPerLevel * (PROCESSOR_LEVELS - 1)) {
      milliProcessorsPerLevel *= 2;
    }
    while (capacity.memoryMebibytes() > memoryMebibytesPerLevel * MEMORY_LEVELS) {
      memoryMebibytesPerLevel *= 2;
    }
  }

  void add(WorkerState worker) {
    int accelerators = acceleratorLevel(worker.freeAccelerators());
    int row = rowIndex(accelerators, processorLevel(worker.freeMilliProcessors()));
    int bucket = memoryLevel(worker.freeMemoryMebibytes());
    if (rows[row] == null) {
      rows[row] = new Row();
    }
    List<WorkerState> members = rows[row].buckets.get(bucket);
    if (members == null) {
      members = new ArrayList<>();
      rows[row].buckets.set(bucket, members);
    }
    worker.setPosition(scope, new Position(row, bucket, members.size()));
    members.add(worker);
    rows[row].occupiedBuckets |= 1L << bucket;
    workersByAccelerators[accelerators]++;
  }

  void remove(WorkerState worker) {
    Position position = worker.position(scope);
    if (position == null) {
      return;
    }
    Row row = rows[position.row];
    List<WorkerState> members = row.buckets.get(position.bucket);
    WorkerState last = members.remove(members.size() - 1);
    if (last != worker) {
      members.set(position.offset, last);
      last.position(scope).offset = position.offset;
    }
    if (members.isEmpty()) {
      row.occupiedBuckets &= ~(1L << position.bucket);
    }
    workersByAccelerators[position.row / PROCESSOR_LEVELS]--;
    worker.setPosition(scope, null);
  }

  /**
   * Finds the worker that is left with the least and best balanced free resources by a task, among
   * those with the fewest free accelerators.
   *
   * <p>Minimising free resources alone fills workers until one resource is exhausted and the rest
   * of the other is wasted; balancing alone spreads small tasks over all workers and leaves no gap
   * for a large one. The score is the free processors and memory after the placement, as fractions
   * of the largest worker, plus {@link #IMBALANCE_WEIGHT} times their difference.
   *
   * @param need the resources needed
   * @param allowed an additional condition on the worker
   * @return the worker, or null if none fits
   */
  WorkerState bestFit(Resources need, Predicate<WorkerState> allowed) {
    for (int level = acceleratorLevel(need.accelerators()); level < ACCELERATOR_LEVELS; level++) {
      WorkerState found =
          workersByAccelerators[level] == 0 ? null : bestFitAtLevel(level, need, allowed);
      if (found != null) {
        return found;
      }
    }
    return null;
  }

  private WorkerState bestFitAtLevel(int level, Resources need, Predicate<WorkerState> allowed) {
    int firstMemory = memoryLevel(need.memoryMebibytes());
    int firstProcessors = processorLevel(need.milliProcessors());
    WorkerState best = null;
    double bestScore = Double.MAX_VALUE;
    for (int i = firstProcessors; i < PROCESSOR_LEVELS; i++) {
      double processors = (i - firstProcessors) * processorLevelFraction;
      if (processors >= bestScore) {
        break;
      }
      Row row = rows[rowIndex(level, i)];
      long buckets = row == null ? 0 : row.occupiedBuckets & -1L << firstMemory;
      for (; buckets != 0; buckets &= buckets - 1) {
        int bucket = Long.numberOfTrailingZeros(buckets);
        double memory = (bucket - firstMemory) * memoryLevelFraction;
        double score = score(processors, memory);
        if (score < bestScore) {
          WorkerState found = firstFitting(row, bucket, need, allowed);
          best = found == null ? best : found;
          bestScore = found == null ? bestScore : score;
        } else if (memory > processors) {
          break;
        }
      }
    }
    return best;
  }

  /** Returns the score of free fractions of processors and memory; lower is better. */
  static double score(double processors, double memory) {
    return processors + memory + IMBALANCE_WEIGHT * Math.abs(processors - memory);
  }

  private static WorkerState firstFitting(
      Row row, int bucket, Resources need, Predicate<WorkerState> allowed) {
    List<WorkerState> members = row.buckets.get(bucket);
    for (int i = members.size() - 1; i >= 0; i--) {
      WorkerState worker = members.get(i);
      if (worker.hasRoomFor(need) && allowed.test(worker)) {
        return worker;
      }
    }
    return null;
  }

  private static int rowIndex(int acceleratorLevel, int processorLevel) {
    return acceleratorLevel * PROCESSOR_LEVELS + processorLevel;
  }

  private static int acceleratorLevel(int accelerators) {
    return Math.max(0, Math.min(ACCELERATOR_LEVELS - 1, accelerators));
  }

  private int processorLevel(long milliProcessors) {
    long level = milliProcessors / milliProcessorsPerLevel;
    return (int) Math.max(0, Math.min(PROCESSOR_LEVELS - 1, level));
  }

  private int memoryLevel(long memoryMebibytes) {
    return (int)
        Math.max(0, Math.min(MEMORY_LEVELS - 1, memoryMebibytes / memoryMebibytesPerLevel));
  }
}
