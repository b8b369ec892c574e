package org.hickorypier.daemon.owner;

/**
 * What a machine can carry as the owner of a cell.
 *
 * <p>Load: an owner orders all starts of its cell and hears of all ends, while a front passes on
 * what its own callers ask. With 246 workers and some 500 starts a second the owner used 0.49 cores
 * and its link some 8 Mbit/s, an instance that only served as a front 0.03 cores. Harm prevented: a
 * machine with a third of a core or a link of 10 Mbit/s falls behind as the owner, and with it all
 * callers. Immutable.
 *
 * @param score thousandths of a core that the machine can spend on owning a cell
 */
public record Strength(int score) {

  /** Of a machine about which nothing is known: it is never replaced for its weakness. */
  public static final Strength UNKNOWN = new Strength(Integer.MAX_VALUE);

  private static final double SCORE_PER_CORE = 1_000;

  /**
   * An owner moves some 16 Mbit for each second of processor time; half again as much leaves room
   * for bursts.
   */
  private static final double MEGABITS_PER_CORE = 24;

  /**
   * Less of a difference is not worth the pause of a takeover, and machines that are alike never
   * replace each other.
   */
  private static final double TAKEOVER_RATIO = 1.5;

  /**
   * Rates a machine by what binds first.
   *
   * @param processors its cores, in parts and multiples of one
   * @param linkMegabits what its link carries, in Mbit/s
   * @return its strength
   */
  public static Strength of(double processors, double linkMegabits) {
    double cores = Math.min(processors, linkMegabits / MEGABITS_PER_CORE);
    return new Strength((int) Math.max(1, Math.round(cores * SCORE_PER_CORE)));
  }

  /**
   * Tells whether this machine should own a cell rather than another.
   *
   * @param other the other machine
   * @return true if it is so much stronger that a takeover pays
   */
  public boolean isMuchStrongerThan(Strength other) {
    return score > other.score * TAKEOVER_RATIO;
  }
}
