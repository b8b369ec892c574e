package org.hickorypier.core.scheduling;

import java.math.BigDecimal;

/**
 * The limits of scheduling decisions.
 *
 * <p>Immutable. The constructor checks every value, so a scheduler never sees a value outside its
 * range.
 *
 * @param queueLimit the items that one team may have queued in one class, so that a burst of one
 *     team fills only its own queue; 1,000 short requests take some 20 KB of references and, at 100
 *     starts per second for the team, wait 10 s, which is as long as a caller waits
 * @param backfillDepth the items of one queue that are tried behind a head that does not fit;
 *     small, because each costs an index lookup in every decision at saturation
 * @param urgentHoldMillis how long urgent work may keep all other work from starting. After that,
 *     one start in {@code urgentTurn} goes to other work, so that a flood marked as urgent slows
 *     down other work but does not stop it
 * @param urgentTurn the cycle described at {@code urgentHoldMillis}; 4 leaves three quarters of the
 *     starts to urgent work
 * @param holdAfterMillis how long a gang, or a task too large for the free gaps, waits before
 *     workers are held free for it; a shorter time leaves room idle for gangs that would soon have
 *     fitted
 * @param gangRetryMillis the minimum time between two attempts to place one gang; an attempt costs
 *     an index lookup for each of its tasks
 * @param historyMillis how long attempts and failures of work are kept after its last end; longer
 *     than any delay before a resubmission
 * @param failedWorkersLimit work that failed on this many different workers is refused, since the
 *     work rather than the workers is then at fault
 * @param waitMargin an item is refused if the estimated wait times this factor exceeds the time to
 *     its deadline. The estimate is a mean, and accepted work should start in time: at twice the
 *     capacity over two minutes, some 100 items were late at 1.25, some 10 at 1.5 and none at 2,
 *     with the same goodput
 * @param badEndsLimit the consecutive work items that end badly on a worker before it is
 *     quarantined; with a lower limit, two unlucky requests would quarantine a healthy worker
 * @param quarantineMillis the first quarantine; a worker that restarts is back within this time
 * @param longestQuarantineMillis the maximum quarantine after doubling; a worker repaired at night
 *     returns to use within this time
 * @param quarantinePart the fraction of the workers that may be in quarantine at once; if more
 *     fail, the work or the platform is at fault, and withdrawing more workers would not help
 * @param slowFactor a worker is slow if its tasks take this many times as long, relative to their
 *     declared run times, as those of the fleet; below 2, differences between kinds of work alone
 *     would reach it
 * @param urgentReservePart the fraction of all slots kept free for urgent work while urgent work
 *     arrives, 0 for none. It is unavailable to all other work, so it is small: one slot in 80 is
 *     three gaps over 30 workers, and with two gaps urgent work had a p99 wait of 9 ms at twice the
 *     capacity
 * @param shiftPatienceMillis work is not refused on the wait estimate until the head of its queue
 *     has waited this long, or an eighth of the time to the deadline if that is shorter; 0 for a
 *     standalone scheduler. In a cluster, permits arrive after an append to the log, and the work
 *     shifter finds room at a peer in its next pass, so the wait for local workers is inconclusive
 *     before that
 */
public record SchedulerSettings(
    int queueLimit,
    int backfillDepth,
    long urgentHoldMillis,
    int urgentTurn,
    long holdAfterMillis,
    long gangRetryMillis,
    long historyMillis,
    int failedWorkersLimit,
    double waitMargin,
    int badEndsLimit,
    long quarantineMillis,
    long longestQuarantineMillis,
    double quarantinePart,
    double slowFactor,
    double urgentReservePart,
    long shiftPatienceMillis) {

  /**
   * Checks each value against its range.
   *
   * @throws IllegalArgumentException if a value is outside its range
   */
  public SchedulerSettings {
    requireInRange("queueLimit", queueLimit, 1, 1_000_000);
    requireInRange("backfillDepth", backfillDepth, 1, 1_000);
    requireInRange("urgentHoldMillis", urgentHoldMillis, 0, 3_600_000);
    requireInRange("urgentTurn", urgentTurn, 2, 1_000);
    requireInRange("holdAfterMillis", holdAfterMillis, 0, 3_600_000);
    requireInRange("gangRetryMillis", gangRetryMillis, 0, 60_000);
    requireInRange("historyMillis", historyMillis, 1_000, 86_400_000);
    requireInRange("failedWorkersLimit", failedWorkersLimit, 2, 100);
    requireInRange("waitMargin", waitMargin, 1, 10);
    requireInRange("badEndsLimit", badEndsLimit, 2, 1_000);
    requireInRange("quarantineMillis", quarantineMillis, 100, 3_600_000);
    requireInRange(
        "longestQuarantineMillis", longestQuarantineMillis, quarantineMillis, 86_400_000);
    requireInRange("quarantinePart", quarantinePart, 0, 1);
    requireInRange("slowFactor", slowFactor, 1.5, 100);
    requireInRange("urgentReservePart", urgentReservePart, 0, 0.5);
    requireInRange("shiftPatienceMillis", shiftPatienceMillis, 0, 60_000);
  }

  /**
   * Returns the defaults, which suit a fleet of 30 to 4,200 workers.
   *
   * @return the defaults
   */
  public static SchedulerSettings defaults() {
    return new SchedulerSettings(
        1_000, 4, 2_000, 4, 2_000, 50, 120_000, 3, 2.0, 3, 10_000, 600_000, 0.25, 3.0, 0.0125, 0);
  }

  /**
   * Returns these settings with another queue limit.
   *
   * @param limit the items that one team may have queued in one class
   * @return the changed settings
   */
  public SchedulerSettings withQueueLimit(int limit) {
    return new SchedulerSettings(
        limit,
        backfillDepth,
        urgentHoldMillis,
        urgentTurn,
        holdAfterMillis,
        gangRetryMillis,
        historyMillis,
        failedWorkersLimit,
        waitMargin,
        badEndsLimit,
        quarantineMillis,
        longestQuarantineMillis,
        quarantinePart,
        slowFactor,
        urgentReservePart,
        shiftPatienceMillis);
  }

  /**
   * Returns these settings with another time before workers are held.
   *
   * @param millis how long a gang waits before workers are held free for it, in milliseconds
   * @return the changed settings
   */
  public SchedulerSettings withHoldAfterMillis(long millis) {
    return new SchedulerSettings(
        queueLimit,
        backfillDepth,
        urgentHoldMillis,
        urgentTurn,
        millis,
        gangRetryMillis,
        historyMillis,
        failedWorkersLimit,
        waitMargin,
        badEndsLimit,
        quarantineMillis,
        longestQuarantineMillis,
        quarantinePart,
        slowFactor,
        urgentReservePart,
        shiftPatienceMillis);
  }

  /**
   * Returns these settings with another reserve for urgent work.
   *
   * @param part the fraction of all slots kept free for urgent work
   * @return the changed settings
   */
  public SchedulerSettings withUrgentReservePart(double part) {
    return new SchedulerSettings(
        queueLimit,
        backfillDepth,
        urgentHoldMillis,
        urgentTurn,
        holdAfterMillis,
        gangRetryMillis,
        historyMillis,
        failedWorkersLimit,
        waitMargin,
        badEndsLimit,
        quarantineMillis,
        longestQuarantineMillis,
        quarantinePart,
        slowFactor,
        part,
        shiftPatienceMillis);
  }

  /**
   * Returns these settings for an instance in a cluster.
   *
   * @param millis how long work waits for permits and for room at peers before it may be refused on
   *     the estimate, in milliseconds
   * @return the changed settings
   */
  public SchedulerSettings withShiftPatience(long millis) {
    return new SchedulerSettings(
        queueLimit,
        backfillDepth,
        urgentHoldMillis,
        urgentTurn,
        holdAfterMillis,
        gangRetryMillis,
        historyMillis,
        failedWorkersLimit,
        waitMargin,
        badEndsLimit,
        quarantineMillis,
        longestQuarantineMillis,
        quarantinePart,
        slowFactor,
        urgentReservePart,
        millis);
  }

  private static void requireInRange(String name, double value, double min, double max) {
    if (value < min || value > max) {
      throw new IllegalArgumentException(
          name
              + " is "
              + plainString(value)
              + ", allowed is "
              + plainString(min)
              + " to "
              + plainString(max));
    }
  }

  private static String plainString(double value) {
    return new BigDecimal(String.valueOf(value)).stripTrailingZeros().toPlainString();
  }
}
