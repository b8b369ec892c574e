package org.hickorypier.core.routing;

import java.util.OptionalLong;
import org.hickorypier.core.model.WorkItem;

/**
 * Decides whether and when a failed attempt is made again.
 *
 * <p>Invariants: work that is not idempotent and may have run is never retried; no retry begins
 * after the deadline; a team's retries stay within its {@link RetryBudget}. The budget is asked
 * last, so a retry that cannot be made uses none of it.
 *
 * <p>Not thread safe: it belongs to the control thread.
 */
public final class RetryPolicy {

  private final RetryBudget budget;

  /**
   * Creates the policy.
   *
   * @param budget the teams' budgets
   */
  public RetryPolicy(RetryBudget budget) {
    this.budget = budget;
  }

  /**
   * Decides about the next attempt.
   *
   * @param item the work
   * @param mayHaveRun whether the failed attempt may have had an effect
   * @param backOff the work's own back-off; the failure is counted in it
   * @param now the time
   * @return how long to wait before the next attempt, or empty if there is to be none
   */
  public OptionalLong nextAttemptDelayMillis(
      WorkItem item, boolean mayHaveRun, BackOff backOff, long now) {
    if (mayHaveRun && !item.idempotent()) {
      return OptionalLong.empty();
    }
    long wait = backOff.nextDelayMillis();
    boolean inTime = now + wait < item.deadlineMillis();
    if (!inTime || !budget.tryTakeRetry(item.key().team())) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(wait);
  }
}
