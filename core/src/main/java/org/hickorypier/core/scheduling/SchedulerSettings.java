package org.hickorypier.core.scheduling;

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
 */
public record SchedulerSettings(
    int queueLimit,
    int backfillDepth,
    long urgentHoldMillis,
    int urgentTurn,
    long holdAfterMillis,
    long gangRetryMillis,
    long historyMillis,
    int failedWorkersLimit) {

  /** Checks each value against its range. */
  public SchedulerSettings {
    check("queueLimit", queueLimit, 1, 1_000_000);
    check("backfillDepth", backfillDepth, 1, 1_000);
    check("urgentHoldMillis", urgentHoldMillis, 0, 3_600_000);
    check("urgentTurn", urgentTurn, 2, 1_000);
    check("holdAfterMillis", holdAfterMillis, 0, 3_600_000);
    check("gangRetryMillis", gangRetryMillis, 0, 60_000);
    check("historyMillis", historyMillis, 1_000, 86_400_000);
    check("failedWorkersLimit", failedWorkersLimit, 2, 100);
  }

  /**
   * Returns the values for a fleet of 30 to 4,200 workers.
   *
   * @return the defaults
   */
  public static SchedulerSettings defaults() {
    return new SchedulerSettings(1_000, 4, 2_000, 4, 10_000, 50, 120_000, 3);
  }

  private static void check(String name, long value, long least, long most) {
    if (value < least || value > most) {
      throw new IllegalArgumentException(
          name + " is " + value + ", allowed is " + least + " to " + most);
    }
  }
}
