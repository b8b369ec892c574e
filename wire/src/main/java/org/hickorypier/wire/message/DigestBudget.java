package org.hickorypier.wire.message;

/**
 * How much of its digests one link may carry.
 *
 * <p>Load it is made for: 62 teams whose use changes every second, and 8 to 60 instances. Without a
 * bound the digests of 62 teams cost 5 KB a second at 8 instances and 25 KB at 60, of 2 KB for all
 * control. The links of an instance share {@link #BYTES_PER_SECOND}; what gives is how old the
 * teams' use is, and with many instances how old the room is. Bytes that were not used are saved up
 * for one larger digest.
 *
 * <p>Not thread safe.
 */
public final class DigestBudget {

  /** Half of an instance's control traffic; the rest is for heartbeats, workers and the log. */
  public static final int BYTES_PER_SECOND = 1_000;

  /** What a digest takes without teams, frame included; the longest measured is 54. */
  static final int FIXED_BYTES = 54;

  /** What a team takes, its name aside; the longest measured is 17. */
  static final int BYTES_EACH = 15;

  /** A digest is worth its fixed part only if it carries some teams as well. */
  private static final int LEAST_USES = 2;

  static final int SAVED_AT_MOST = 512;
  private static final double MILLIS = 1_000;

  private double saved = SAVED_AT_MOST;
  private long filledMillis;

  /**
   * Returns how many teams' use a digest may carry now.
   *
   * @param now the time, in milliseconds of a monotonic clock
   * @param links how many links share the budget
   * @return the number of teams, or less than 0 if no digest is to be sent
   */
  public int mostUses(long now, int links) {
    double earned = (now - filledMillis) / MILLIS * BYTES_PER_SECOND / Math.max(1, links);
    saved = Math.min(SAVED_AT_MOST, saved + earned);
    filledMillis = now;
    int uses = (int) Math.floor((saved - FIXED_BYTES) / BYTES_EACH);
    return uses < LEAST_USES ? -1 : uses;
  }

  /**
   * Takes a digest that was written out of the budget. The first of a link may overdraw it.
   *
   * @param bytes the length of its frame
   */
  public void spent(int bytes) {
    saved = Math.max(0, saved - bytes);
  }
}
