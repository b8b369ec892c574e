package org.hickorypier.core.scheduling;

import java.util.HashSet;
import java.util.Set;
import org.hickorypier.core.model.WorkKey;

/**
 * What the ends of a worker's tasks say about it.
 *
 * <p>Not thread safe.
 */
final class WorkerHealth {

  /** Where a worker stands with the decisions. */
  enum State {
    /** It takes tasks up to its slots. */
    GOOD,
    /** It takes none for a while. */
    QUARANTINED,
    /** It takes one task at a time, until that shows that it is good. */
    PROBING
  }

  /** The weight of a new run; some five tasks until a change shows. */
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

  /** Tells whether a worker with so many tasks may get one more, as far as its health goes. */
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

  void quarantine(long now, long firstMillis, long mostMillis) {
    long millis = firstMillis << Math.min(consecutiveQuarantines, 20);
    consecutiveQuarantines++;
    quarantinedUntilMillis = now + Math.min(mostMillis, millis);
    consecutiveBadWork.clear();
    state = State.QUARANTINED;
  }

  /** Counts a bad end and returns how many works in a row ended badly. */
  int recordBadEnd(WorkKey key) {
    consecutiveBadWork.add(key);
    return consecutiveBadWork.size();
  }

  void recordGoodEnd() {
    consecutiveBadWork.clear();
    consecutiveQuarantines = 0;
  }

  /** Takes in how long a task ran, as the logarithm of the run time over the expected one. */
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
