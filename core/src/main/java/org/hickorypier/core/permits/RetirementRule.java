package org.hickorypier.core.permits;

import java.util.Collection;

/**
 * Decides when an apparently failed instance may be fenced and when its permits may be freed.
 *
 * <p>Stateless and thread-safe. Both decisions require an observation of every worker of the fleet
 * and must not be requested while one is missing.
 *
 * <p>47 instances fail on an ordinary day, and each leaves running tasks behind on many workers.
 * Permits that are freed while a task that they cover still runs, or while their paused holder
 * still counts on them, let other instances start tasks beyond the team's limit. Permits that are
 * freed late only leave capacity below the limit unused.
 */
public final class RetirementRule {

  private RetirementRule() {}

  /**
   * Returns whether a holder may be fenced.
   *
   * <p>A holder that controls no worker has to claim one and append an adoption record for it
   * before it can start a task. If the adoption record is folded before the fence, the fold rejects
   * the fence. If it is folded after the fence, the fold rejects the adoption record, and the
   * holder starts nothing.
   *
   * @param holder the holder
   * @param observations the observation of each worker
   * @return whether the holder controls none of the workers
   */
  public static boolean mayFence(Holder holder, Collection<WorkerObservation> observations) {
    return observations.stream()
        .noneMatch(observation -> observation.controller().filter(holder::equals).isPresent());
  }

  /**
   * Returns whether the permits of a holder may be freed.
   *
   * <p>A fenced holder starts no tasks, and every observed task is covered by the permits of
   * another holder. The fold never moves a task back under the permits of a fenced holder.
   *
   * @param state the permits as folded from the log
   * @param holder the holder
   * @param observations the observation of each worker, made after the fence was folded
   * @return whether the holder is fenced and its permits cover no task
   */
  public static boolean mayRetire(
      PermitState state, Holder holder, Collection<WorkerObservation> observations) {
    return state.isFenced(holder)
        && observations.stream().noneMatch(observation -> covers(state, holder, observation));
  }

  private static boolean covers(PermitState state, Holder holder, WorkerObservation observation) {
    WorkerAdoptions worker = state.worker(observation.worker());
    return observation.owners().stream().anyMatch(owner -> worker.holderOf(owner).equals(holder));
  }
}
