package org.hickorypier.core.permits;

/**
 * The demand of one instance for the permits of one team.
 *
 * <p>Immutable.
 *
 * @param running the number of running tasks, including adopted ones
 * @param waiting the number of waiting tasks that could start with a permit, including urgent ones
 * @param urgent the number of urgent tasks among those waiting
 */
public record PermitDemand(int running, int waiting, int urgent) {

  /** A demand for no permits. */
  public static final PermitDemand NONE = new PermitDemand(0, 0, 0);

  /**
   * Validates the counts.
   *
   * @throws IllegalArgumentException if a count is negative or {@code urgent} exceeds {@code
   *     waiting}
   */
  public PermitDemand {
    if (running < 0 || urgent < 0 || waiting < urgent) {
      throw new IllegalArgumentException(
          "invalid demand: "
              + running
              + " running, "
              + waiting
              + " waiting, "
              + urgent
              + " urgent");
    }
  }

  /**
   * Returns the number of permits that satisfies the demand.
   *
   * @return the sum of running and waiting tasks
   */
  public int total() {
    return running + waiting;
  }
}
