package org.hickorypier.standins.worker;

import java.util.Set;

/**
 * The condition that a stand-in worker is in.
 *
 * <p>Immutable.
 *
 * @param leaving whether it is in graceful shutdown and refuses starts
 * @param failingTasks whether every task fails as soon as it starts
 * @param disabledSafeguards what it does not enforce
 */
public record WorkerConditions(
    boolean leaving, boolean failingTasks, Set<WorkerSafeguard> disabledSafeguards) {

  /** A worker in order. */
  public static final WorkerConditions NORMAL = new WorkerConditions(false, false, Set.of());

  /** Copies the set; a JSON form may leave it out. */
  public WorkerConditions {
    disabledSafeguards = disabledSafeguards == null ? Set.of() : Set.copyOf(disabledSafeguards);
  }

  boolean enforces(WorkerSafeguard safeguard) {
    return !disabledSafeguards.contains(safeguard);
  }
}
