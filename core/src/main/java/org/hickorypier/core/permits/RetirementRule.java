package org.hickorypier.core.permits;

import java.util.Collection;

/**
 * Decides when an instance that looks gone may be fenced off, and when its permits may be freed.
 *
 * <p>A pure function, so thread safe. Both decisions need a sighting of each and every worker of
 * the fleet; with one missing, do not ask.
 *
 * <p>Load: 47 instances fail on an ordinary day, and each leaves running tasks behind on many
 * workers. Harm prevented: permits freed while a task that they cover still runs, or while their
 * holder, which was only paused, still counts on them; others would start in its place, and the
 * team would be over its limit. Permits freed late cost no more than room below the limit.
 */
public final class RetirementRule {

  private RetirementRule() {}

  /**
   * Decides whether a holder may be fenced off.
   *
   * <p>Why it is enough: it controls no worker, so it can start nothing unless it claims one anew.
   * Then it has to speak for that worker first. If its word is folded before the fence, the fence
   * is refused; if after, its word is refused, and it starts nothing.
   *
   * @param gone the holder
   * @param sightings what each worker said
   * @return true if it controls none of them
   */
  public static boolean mayFence(Holder gone, Collection<WorkerObservation> sightings) {
    return sightings.stream()
        .noneMatch(sighting -> sighting.controller().filter(gone::equals).isPresent());
  }

  /**
   * Decides whether the permits of a holder may be freed.
   *
   * <p>Why it is enough: it starts nothing any more, and every task found is covered by permits
   * elsewhere. The fold lets nobody bring a task back under its permits.
   *
   * @param state the permits as folded
   * @param gone the holder
   * @param sightings what each worker said after the fence was folded
   * @return true if its permits cover no task
   */
  public static boolean mayRetire(
      PermitState state, Holder gone, Collection<WorkerObservation> sightings) {
    return state.isFenced(gone)
        && sightings.stream().noneMatch(sighting -> covers(state, gone, sighting));
  }

  private static boolean covers(PermitState state, Holder gone, WorkerObservation sighting) {
    WorkerAdoptions worker = state.worker(sighting.worker());
    return sighting.owners().stream().anyMatch(owner -> worker.holderOf(owner).equals(gone));
  }
}
