package org.hickorypier.core.scheduling;

import java.util.HashSet;
import java.util.Set;
import org.hickorypier.core.model.WorkKey;

/**
 * The health of a worker, as derived from the ends of its tasks.
 *
 * <p>Not thread-safe.
 */
final class WorkerHealth {

  /** How far a worker may be used for placements. */
  enum State {
    /** It takes tasks up to its number of slots. */
    GOOD,
    /** It takes no tasks until its quarantine ends. */
    QUARANTINED,
    /** It takes one task at a time, until a result shows that it is healthy. */
    PROBING
  }

  /** The weight of a new run; a change becomes visible after some five tasks. */
  private static final double RUN_TIME_SMOOTHING = 0.2;

  private final Set<WorkKey> consecutiveBadWork = new HashSet<>();
  private State state = State.GOOD;
  private int consecutiveQuarantines;
  private long quarantinedUntilMillis;
  private int runs;
  private double logSlowness;

  State state() {
    return state;
  }

  /** Tells whether the health of a worker with this many tasks permits one more. */
  boolean admits(int tasks) {
    return switch (state) {
      case GOOD -> true;
      case PROBING -> tasks == 0;
      case QUARANTINED -> false;
    };
  }

  void setState(State newState) {
    state = newState;
  }

  long quarantinedUntilMillis() {
    return quarantinedUntilMillis;
  }

  void quarantine(long now, long firstMillis, long maxMillis) {
    long millis = firstMillis << Math.min(consecutiveQuarantines, 20);
    consecutiveQuarantines++;
    quarantinedUntilMillis = now + Math.min(maxMillis, millis);
    consecutiveBadWork.clear();
    state = State.QUARANTINED;
  }

  /** Records a bad end and returns how many different work items have ended badly in a row. */
  int recordBadEnd(WorkKey key) {
    consecutiveBadWork.add(key);
    return consecutiveBadWork.size();
  }

  void recordGoodEnd() {
    consecutiveBadWork.clear();
    consecutiveQuarantines = 0;
  }

  /**
   * Records how long a task ran, as the logarithm of the run time divided by the expected run time.
   */
  void recordRunTime(double logRatio) {
    runs++;
    logSlowness += Math.max(RUN_TIME_SMOOTHING, 1.0 / runs) * (logRatio - logSlowness);
  }

  int runs() {
    return runs;
  }

  double logSlowness() {
    return logSlowness;
  }
}
