package org.hickorypier.daemon.permit;

import java.util.Map;
import org.hickorypier.core.permits.Holder;
import org.hickorypier.core.permits.PermitDemand;

/** The work that needs permits, here and elsewhere. Called on the control thread. */
public interface PermitWork {

  /**
   * Returns what this instance needs permits of a team for.
   *
   * @param team the team
   * @return its running tasks that its own permits cover, and its waiting ones
   */
  PermitDemand demand(String team);

  /**
   * Returns what the other live instances need, from their digests.
   *
   * @param team the team
   * @return the demand by instance
   */
  Map<Holder, PermitDemand> others(String team);

  /**
   * Returns how many placed tasks of a team are covered by other instances' permits.
   *
   * @param team the team
   * @return the number of tasks that this instance only counts as filling its workers
   */
  int coveredElsewhere(String team);

  /**
   * Takes a new number of permits into use.
   *
   * @param team the team
   * @param permits how many tasks of the team may be placed here, those covered elsewhere included
   */
  void use(String team, int permits);

  /**
   * Hears that this instance's word for a worker has been folded, so that tasks may start there.
   *
   * @param worker the worker
   */
  void mayStartOn(String worker);
}
