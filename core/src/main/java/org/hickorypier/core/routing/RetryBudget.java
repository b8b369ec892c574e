package org.hickorypier.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of each team to a fraction of its first attempts.
 *
 * <p>When workers or peers fail most of the work that they are sent, an unbounded retry would turn
 * every failure into another attempt and double the load during the outage; a fraction of a tenth
 * keeps the load at 1.1 times that of the callers. Each team has its own token bucket, so that its
 * failing work does not use up the retries of other teams. A new team starts with a full bucket, so
 * that the first failure of a team with little work can be retried; the size of the bucket bounds a
 * burst after a period without failures.
 *
 * <p>Confined to the control thread. It does not depend on time.
 */
public final class RetryBudget {

  private final double fraction;
  private final double maxTokens;
  private final Map<String, Double> tokens = new HashMap<>();

  /**
   * Creates the budgets, with a full bucket for each team.
   *
   * @param fraction the number of retries allowed for each first attempt
   * @param maxTokens the capacity of a bucket, in retries
   */
  public RetryBudget(double fraction, int maxTokens) {
    this.fraction = fraction;
    this.maxTokens = maxTokens;
  }

  /**
   * Records a first attempt.
   *
   * @param team the team
   */
  public void recordFirstAttempt(String team) {
    tokens.computeIfPresent(team, (name, available) -> Math.min(maxTokens, available + fraction));
  }

  /**
   * Takes one retry from a team's budget.
   *
   * @param team the team
   * @return false if the budget is exhausted; the work is then not retried
   */
  public boolean tryTakeRetry(String team) {
    double available = tokens.getOrDefault(team, maxTokens);
    if (available < 1) {
      return false;
    }
    tokens.put(team, available - 1);
    return true;
  }

  /**
   * Removes the bucket of a deleted team.
   *
   * @param team the team
   */
  public void removeTeam(String team) {
    tokens.remove(team);
  }
}
