package org.hickorypier.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * How many retries each team may cause: a fraction of its first attempts.
 *
 * <p>Load it is made for: workers or peers fail most of what they are sent. Without a bound every
 * failure would become another attempt and the load would double when it hurts most; a fraction of
 * a tenth keeps it at 1.1 times the callers' own. A token bucket for each team, so that one team's
 * failing work uses up no other's retries. A new team begins with a full bucket, so that the first
 * failure of a quiet team can be retried; the bucket's size bounds a burst after a calm.
 *
 * <p>Not thread safe: it belongs to the control thread. It needs no time.
 */
public final class RetryBudget {

  private final double fraction;
  private final double burst;
  private final Map<String, Double> tokens = new HashMap<>();

  /**
   * Creates full budgets.
   *
   * @param fraction retries allowed for each first attempt
   * @param burst the most retries that a team may save up
   */
  public RetryBudget(double fraction, int burst) {
    this.fraction = fraction;
    this.burst = burst;
  }

  /**
   * Counts a first attempt.
   *
   * @param team the team
   */
  public void recordFirstAttempt(String team) {
    tokens.computeIfPresent(team, (name, saved) -> Math.min(burst, saved + fraction));
  }

  /**
   * Takes a retry out of the team's budget.
   *
   * @param team the team
   * @return false if the budget is used up; the work is then not retried
   */
  public boolean tryTakeRetry(String team) {
    double saved = tokens.getOrDefault(team, burst);
    if (saved < 1) {
      return false;
    }
    tokens.put(team, saved - 1);
    return true;
  }

  /**
   * Forgets a team that is gone.
   *
   * @param team the team
   */
  public void removeTeam(String team) {
    tokens.remove(team);
  }
}
