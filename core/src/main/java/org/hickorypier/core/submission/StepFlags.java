package org.hickorypier.core.submission;

/**
 * How the tasks of a step are to be treated.
 *
 * <p>Immutable.
 *
 * @param gang the tasks work only together
 * @param sameRack a gang that is slow when spread over racks
 * @param checkpoints the tasks save their progress
 * @param speculative copies may run in parallel
 * @param persistent the tasks run until the submission is cancelled
 * @param opportunistic the tasks use processor time that others leave, and count for none
 */
public record StepFlags(
    boolean gang,
    boolean sameRack,
    boolean checkpoints,
    boolean speculative,
    boolean persistent,
    boolean opportunistic) {

  /** A step of independent tasks without any special treatment. */
  public static final StepFlags NONE = new StepFlags(false, false, false, false, false, false);
}
