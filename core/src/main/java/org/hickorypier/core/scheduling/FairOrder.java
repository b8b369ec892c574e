package org.hickorypier.core.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;

/**
 * The teams in the order of weighted dominant-resource fairness: the team with the lowest dominant
 * share relative to its weight goes first.
 *
 * <p>On a full fleet, teams request different amounts of different resources. This order keeps a
 * team from gaining capacity by submitting more work or by requesting resources that others do not
 * need. Use at other instances counts as well: callers of a team tend to stay with one instance, so
 * an order by local use alone would be fair at each instance and unfair across the fleet. Teams
 * without waiting work are skipped, so no capacity stays idle for them.
 *
 * <p>Invariant: the set is sorted by the teams' present weighted shares. Not thread-safe.
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

  /** Returns the teams with waiting work, in order. No team may change during the iteration. */
  Iterable<TeamState> orderedTeams() {
    return orderedTeams;
  }

  int waitingTeamCount() {
    return orderedTeams.size();
  }

  /** Applies a change to a team and restores its position in the order. */
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

  /** Makes all teams eligible for another placement attempt. */
  void retryAllTeams() {
    orderedTeams.forEach(TeamState::clearExhausted);
  }

  /**
   * Makes the teams with a waiting gang eligible for another placement attempt, since any freed
   * room may help a gang.
   */
  void retryTeamsWithGangs() {
    for (TeamState team : orderedTeams) {
      if (team.queue(WorkClass.GANG).size() > 0) {
        team.clearExhausted();
      }
    }
  }
}
