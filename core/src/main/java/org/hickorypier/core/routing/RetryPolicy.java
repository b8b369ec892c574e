package org.hickorypier.core.routing;

import java.util.OptionalLong;
import org.hickorypier.core.model.WorkItem;

/**
 * Decides whether and when a failed attempt is retried.
 *
 * <p>Invariants: work that is not idempotent and may have run is never retried; no retry begins
 * after the deadline; a team's retries stay within its {@link RetryBudget}. The budget is checked
 * last, so a retry that is ruled out consumes none of it.
 *
 * <p>Confined to the control thread.
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
   * Returns the delay before the next attempt, and consumes budget if there is one.
   *
   * @param item the work
   * @param mayHaveRun whether the failed attempt may have had an effect
   * @param backOff the backoff of this work, in which the failure is recorded
   * @param now the time in milliseconds
   * @return the delay in milliseconds, or empty if the work is not retried
   */
  public OptionalLong nextAttemptDelayMillis(
      WorkItem item, boolean mayHaveRun, BackOff backOff, long now) {
    if (mayHaveRun && !item.idempotent()) {
      return OptionalLong.empty();
    }
    long delayMillis = backOff.nextDelayMillis();
    boolean beforeDeadline = now + delayMillis < item.deadlineMillis();
    if (!beforeDeadline || !budget.tryTakeRetry(item.key().team())) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(delayMillis);
  }
}
