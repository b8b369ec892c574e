package org.hickorypier.daemon.owner;

/**
 * What a machine can carry as the owner of a cell.
 *
 * <p>An owner orders all starts of its cell and receives all ends, while an instance that only
 * serves as a front forwards the requests of its own callers. With 246 workers and some 500 starts
 * a second the owner used 0.49 cores and its link some 8 Mbit/s; an instance that only served as a
 * front used 0.03 cores. A machine with a third of a core or a link of 10 Mbit/s falls behind as
 * the owner, and delays all callers. Immutable.
 *
 * @param score thousandths of a core that the machine can spend on owning a cell
 */
public record Strength(int score) {

  /**
   * The strength of a machine about which nothing is known. Such an owner is never replaced as too
   * weak.
   */
  public static final Strength UNKNOWN = new Strength(Integer.MAX_VALUE);

  private static final double SCORE_PER_CORE = 1_000;

  /**
   * An owner transfers some 16 Mbit for each second of processor time; half as much again leaves
   * room for bursts.
   */
  private static final double MEGABITS_PER_CORE = 24;

  /**
   * A smaller difference is not worth the pause of a takeover, and machines that are alike never
   * replace each other.
   */
  private static final double TAKEOVER_RATIO = 1.5;

  /**
   * Rates a machine by its scarcer resource, processors or link.
   *
   * @param processors the cores, of which a part counts too
   * @param linkMegabits the bandwidth of the link, in Mbit/s
   * @return the strength, with a score of at least 1
   */
  public static Strength of(double processors, double linkMegabits) {
    double cores = Math.min(processors, linkMegabits / MEGABITS_PER_CORE);
    return new Strength((int) Math.max(1, Math.round(cores * SCORE_PER_CORE)));
  }

  /**
   * Returns whether this machine should own a cell rather than another.
   *
   * @param other the other machine
   * @return true if this machine is so much stronger that a takeover is worthwhile
   */
  public boolean isMuchStrongerThan(Strength other) {
    return score > other.score * TAKEOVER_RATIO;
  }
}
