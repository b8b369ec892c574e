package org.hickorypier.core.scheduling;

import java.math.BigDecimal;

/**
 * The limits of the decisions.
 *
 * <p>Immutable. Every value is checked when the record is made, so a scheduler never meets a value
 * outside its range.
 *
 * @param queueLimit items that one team may have queued in one class. A burst of one team then
 *     fills only its own queue; 1,000 short requests are some 20 KB of references and, at 100
 *     starts a second for the team, a wait of 10 s, which is as long as a caller stays
 * @param backfillDepth items of one queue that are looked at behind a head that does not fit.
 *     Small, because each costs a look at the index in every decision at saturation
 * @param urgentHoldMillis how long urgent work may keep all other work from starting. Past it, one
 *     place in {@code urgentTurn} goes to other work, so a flood marked urgent slows the rest but
 *     does not stop it
 * @param urgentTurn see {@code urgentHoldMillis}; 4 leaves urgent work three quarters of the places
 * @param holdAfterMillis how long a gang, or a task too large for the gaps, waits before workers
 *     are kept free for it. Shorter leaves room idle for gangs that would soon have fitted
 * @param gangRetryMillis the least time between two tries to place one gang; a try costs a look at
 *     the index for each of its tasks
 * @param historyMillis how long attempts and failures of work are remembered after its last end;
 *     longer than any delay before a new submission
 * @param failedWorkersLimit work that failed on that many different workers is refused, since by
 *     then the work is at fault and not the workers
 * @param waitMargin an item is refused if the estimated wait times this goes past its deadline. The
 *     estimate is a mean, and work once accepted should start in time: at twice the capacity, 1.25
 *     left some 100 items of two minutes late, 1.5 some 10, 2 none, with the same goodput
 * @param badEndsLimit works in a row that end badly on a worker before it is quarantined; with
 *     fewer two unlucky requests would close a good worker
 * @param quarantineMillis the first quarantine; a worker that restarts is back by then
 * @param longestQuarantineMillis the longest one, after doubling; a worker that was mended at night
 *     is found within this time
 * @param quarantinePart the part of the workers that may be in quarantine at once; if more fail,
 *     the work or the platform is at fault, and closing the fleet would not help
 * @param slowFactor a worker is slow if its tasks take this many times as long, for what they
 *     declare, as those of the fleet; below 2, unlike work alone would reach it
 * @param urgentReservePart the part of all slots that is kept free for urgent work while any comes;
 *     0 for none. It is lost to all other work, so it is small: one slot in eighty is three gaps
 *     over 30 workers, and two gaps left urgent work a p99 of 9 ms at twice the capacity
 * @param shiftPatienceMillis work is not refused for the estimate before the first of its queue has
 *     waited so long, or an eighth of the time that remains; 0 for a scheduler that stands alone.
 *     Beside others, permits take an append of the log and work takes a look of the shifter to find
 *     room at a peer, so the wait for own workers says nothing before
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

  /** Checks each value against its range. */
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
   * Returns the values for a fleet of 30 to 4,200 workers.
   *
   * @return the defaults
   */
  public static SchedulerSettings defaults() {
    return new SchedulerSettings(
        1_000, 4, 2_000, 4, 2_000, 50, 120_000, 3, 2.0, 3, 10_000, 600_000, 0.25, 3.0, 0.0125, 0);
  }

  /**
   * Returns the defaults with another queue limit.
   *
   * @param limit items that one team may have queued in one class
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
   * Returns the settings with another time before workers are held.
   *
   * @param millis how long a gang waits before workers are kept free for it
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
   * Returns the settings with another part of the slots for urgent work.
   *
   * @param part the part of all slots that is kept free for urgent work
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
   * Returns these settings for an instance beside others.
   *
   * @param millis how long permits and room at peers are waited for before work is refused
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

  private static void requireInRange(String name, double value, double least, double most) {
    if (value < least || value > most) {
      throw new IllegalArgumentException(
          name
              + " is "
              + plainString(value)
              + ", allowed is "
              + plainString(least)
              + " to "
              + plainString(most));
    }
  }

  private static String plainString(double value) {
    return new BigDecimal(String.valueOf(value)).stripTrailingZeros().toPlainString();
  }
}
