package org.hickorypier.core.permits;

/**
 * What one instance needs permits of one team for.
 *
 * <p>Immutable.
 *
 * @param running its running tasks, the adopted ones too
 * @param waiting its waiting tasks that could start if it had permits, the urgent ones too
 * @param urgent the urgent ones among those waiting
 */
public record PermitDemand(int running, int waiting, int urgent) {

  /** No need at all. */
  public static final PermitDemand NONE = new PermitDemand(0, 0, 0);

  /** Checks the numbers. */
  public PermitDemand {
    if (running < 0 || urgent < 0 || waiting < urgent) {
      throw new IllegalArgumentException(
          "no demand: " + running + " running, " + waiting + " waiting, " + urgent + " urgent");
    }
  }

  /**
   * Returns the number of permits that would satisfy it.
   *
   * @return running and waiting together
   */
  public int total() {
    return running + waiting;
  }
}
