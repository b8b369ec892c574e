package org.hickorypier.core.cell;

/**
 * Identifies one run of a task.
 *
 * <p>Immutable.
 *
 * @param task the name of the task
 * @param number the number of the run, from 1; the members of a gang share it
 */
public record RunKey(TaskName task, int number) {}
