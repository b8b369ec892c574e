package org.hickorypier.core.submission;

/**
 * Scheduling options of the tasks of a step.
 *
 * <p>Immutable.
 *
 * @param gang the tasks only work while all of them run
 * @param sameRack the gang runs slowly when it is spread over several racks
 * @param checkpoints the tasks save checkpoints of their progress
 * @param speculative speculative copies of a task may run in parallel
 * @param persistent the tasks run until the submission is cancelled
 * @param opportunistic the tasks use idle processor time only, and reserve no processors
 */
public record StepFlags(
    boolean gang,
    boolean sameRack,
    boolean checkpoints,
    boolean speculative,
    boolean persistent,
    boolean opportunistic) {

  /** Independent tasks without any option. */
  public static final StepFlags NONE = new StepFlags(false, false, false, false, false, false);
}
