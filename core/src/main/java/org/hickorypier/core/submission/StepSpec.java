package org.hickorypier.core.submission;

import java.util.List;
import org.hickorypier.core.model.Resources;

/**
 * One step of a submission: a number of identical tasks.
 *
 * <p>Immutable.
 *
 * @param count number of tasks
 * @param taskResources resource demand of one task
 * @param estimateMillis the caller's rough estimate of a task's duration, in milliseconds
 * @param dependsOn indexes of the earlier steps that must complete first
 * @param flags scheduling options of the tasks
 * @param requires the label that a worker must have, or empty
 * @param affinity the rack that holds the data of the step, or empty
 * @param antiAffinity maximum number of tasks of the step on one worker; 0 for no limit
 * @param image name of the image that the tasks run, or empty
 * @param targetMillis upper bound of a serving task's response times, in milliseconds; 0 for none
 * @param maxUnavailable maximum number of tasks of a persistent step that the scheduler may
 *     interrupt at once
 */
public record StepSpec(
    int count,
    Resources taskResources,
    long estimateMillis,
    List<Integer> dependsOn,
    StepFlags flags,
    String requires,
    String affinity,
    int antiAffinity,
    String image,
    long targetMillis,
    int maxUnavailable) {

  /** Copies the list, so that the record is immutable. */
  public StepSpec {
    dependsOn = List.copyOf(dependsOn);
  }

  /**
   * Returns the capacity that a running task reserves on its worker.
   *
   * @return the resource demand of a task, without processors if the task is opportunistic
   */
  public Resources reservedResources() {
    return flags.opportunistic()
        ? new Resources(0, taskResources.memoryMebibytes(), taskResources.accelerators())
        : taskResources;
  }
}
