package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.hickorypier.core.model.Resources;

/**
 * The open workers sorted by their free room, in cells of equal free accelerators, processors and
 * memory.
 *
 * <p>Made for thousands of starts a second over thousands of workers. A look-up visits rows of
 * cells, whose number is fixed, and not workers; a change moves one worker between two cells. So
 * the cost of a decision hardly depends on the number of workers. Only in the lowest cells of a
 * look-up, where some members have a little less room than needed, are members tried one by one.
 *
 * <p>Invariant: every indexed worker stands in the cell of its present free room. Not thread safe.
 */
final class FreeCapacityIndex {

  /** Memory levels, one for each bit of a row's mask. */
  private static final int MEMORY_LEVELS = Long.SIZE;

  /** Processor levels; with 250 milli-processors each, exact for workers of up to 16 processors. */
  private static final int PROCESSOR_LEVELS = 65;

  /** Accelerator levels; no worker of the target has more than 8, those above share the last. */
  private static final int ACCELERATOR_LEVELS = 17;

  /**
   * How much imbalance counts. Tried on a scratch copy with 20 seeds: at 1 no better than first fit
   * on 7 of them; at 4 above it on all, with and without large tasks; from 8 on the least seed with
   * large tasks falls again.
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

  /** What an index spans; a worker stands in one index of each scope. */
  enum Scope {
    FLEET,
    DATA_CENTRE
  }

  /** Where a worker stands: its row, its cell and its place in the cell. */
  static final class Position {
    private final int row;
    private final int bucket;
    private int offset;

    private Position(int row, int cell, int place) {
      this.row = row;
      this.bucket = cell;
      this.offset = place;
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
   * Tells whether a capacity spans more levels than there are. All workers must then be removed,
   * the levels widened, and the workers added again.
   */
  boolean needsWiderLevels(Resources capacity) {
    return capacity.milliProcessors() > milliProcessorsPerLevel * (PROCESSOR_LEVELS - 1)
        || capacity.memoryMebibytes() > memoryMebibytesPerLevel * MEMORY_LEVELS;
  }

  /** Has free room counted as parts of the largest worker. */
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
    int cell = memoryLevel(worker.freeMemoryMebibytes());
    if (rows[row] == null) {
      rows[row] = new Row();
    }
    List<WorkerState> members = rows[row].buckets.get(cell);
    if (members == null) {
      members = new ArrayList<>();
      rows[row].buckets.set(cell, members);
    }
    worker.setPosition(scope, new Position(row, cell, members.size()));
    members.add(worker);
    rows[row].occupiedBuckets |= 1L << cell;
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
   * Finds the worker that a task leaves with the least and best balanced room, among those with the
   * fewest free accelerators.
   *
   * <p>Least room alone fills workers until one resource is used up and the rest of the other is
   * lost; balance alone spreads small tasks over all workers and leaves no gap for a large one. The
   * score is the free processors and memory after the placement, as parts of the largest worker,
   * plus {@link #IMBALANCE_WEIGHT} times their difference.
   *
   * @param need the room needed
   * @param allowed what else must hold for the worker
   * @return the worker, or null if there is none
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
      long cells = row == null ? 0 : row.occupiedBuckets & -1L << firstMemory;
      for (; cells != 0; cells &= cells - 1) {
        int cell = Long.numberOfTrailingZeros(cells);
        double memory = (cell - firstMemory) * memoryLevelFraction;
        double score = score(processors, memory);
        if (score < bestScore) {
          WorkerState found = firstFitting(row, cell, need, allowed);
          best = found == null ? best : found;
          bestScore = found == null ? bestScore : score;
        } else if (memory > processors) {
          break;
        }
      }
    }
    return best;
  }

  /** Returns the score of free parts, the less the better. */
  static double score(double processors, double memory) {
    return processors + memory + IMBALANCE_WEIGHT * Math.abs(processors - memory);
  }

  private static WorkerState firstFitting(
      Row row, int cell, Resources need, Predicate<WorkerState> allowed) {
    List<WorkerState> members = row.buckets.get(cell);
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
