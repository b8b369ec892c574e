package org.hickorypier.core.submission;

import java.util.List;
import org.hickorypier.core.model.Resources;

/**
 * One step of a submission: a number of equal tasks.
 *
 * <p>Immutable.
 *
 * @param count how many tasks it has
 * @param taskResources what one task needs
 * @param estimateMillis the caller's rough estimate of a task's duration, in milliseconds
 * @param dependsOn numbers of the earlier steps that must be done first
 * @param flags how its tasks are to be treated
 * @param requires the label that a worker must have, or empty
 * @param affinity the rack where its data is, or empty
 * @param antiAffinity at most so many of its tasks on one worker; 0 for no bound
 * @param image names what the tasks run, or empty
 * @param targetMillis bound of a serving task's response times, in milliseconds; 0 for none
 * @param maxUnavailable how many of a lasting step's tasks the system may interrupt at once
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

  /** Copies the list, so that the record stays as it is. */
  public StepSpec {
    dependsOn = List.copyOf(dependsOn);
  }

  /**
   * Returns what a running task takes of a worker's capacity.
   *
   * @return its need, without processors where it only fills what others leave
   */
  public Resources reservedResources() {
    return flags.opportunistic()
        ? new Resources(0, taskResources.memoryMebibytes(), taskResources.accelerators())
        : taskResources;
  }
}
