package org.hickorypier.core.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;

/**
 * The teams in the order of weighted dominant-resource fairness: the team with the least dominant
 * share for its weight goes first.
 *
 * <p>Made for a full fleet, where teams ask for unlike amounts of unlike resources. It prevents
 * that a team gets more by sending more, or by asking for what others do not. The use at other
 * instances counts as well, because the callers of a team tend to stick to one instance, and an
 * order of this instance alone would then be fair at each and unfair over the fleet. Teams without
 * waiting work are passed over, so room is never left idle for them.
 *
 * <p>Invariant: the set is sorted by the teams' present weighted shares. Not thread safe.
 */
final class FairOrder {

  private final Map<String, TeamState> teams = new HashMap<>();
  private final TreeSet<TeamState> orderedTeams =
      new TreeSet<>(
          Comparator.comparingDouble(TeamState::weightedShare).thenComparing(TeamState::name));
  private Resources total = Resources.NONE;

  TeamState team(String name) {
    return teams.computeIfAbsent(name, TeamState::new);
  }

  /** Returns the teams with waiting work, in order; no team may be changed while it is read. */
  Iterable<TeamState> orderedTeams() {
    return orderedTeams;
  }

  int waitingTeamCount() {
    return orderedTeams.size();
  }

  /** Changes a team and puts it where it now belongs. */
  void update(TeamState team, Runnable change) {
    orderedTeams.remove(team);
    change.run();
    team.refreshWeightedShare(total);
    if (team.hasWaiting()) {
      orderedTeams.add(team);
    }
  }

  void setTotal(Resources newTotal) {
    if (newTotal.equals(total)) {
      return;
    }
    total = newTotal;
    orderedTeams.clear();
    for (TeamState team : teams.values()) {
      team.refreshWeightedShare(total);
      if (team.hasWaiting()) {
        orderedTeams.add(team);
      }
    }
  }

  /** Has all teams tried again. */
  void retryAllTeams() {
    orderedTeams.forEach(TeamState::clearExhausted);
  }

  /** Has the teams with a waiting gang tried again, which any freed room may help. */
  void retryTeamsWithGangs() {
    for (TeamState team : orderedTeams) {
      if (team.queue(WorkClass.GANG).size() > 0) {
        team.clearExhausted();
      }
    }
  }
}
