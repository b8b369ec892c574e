package org.hickorypier.core.cell;

/**
 * Identifies one task.
 *
 * <p>Immutable.
 *
 * @param submission the submission's id
 * @param occurrence the index of the occurrence, from 0
 * @param step the index of the step, from 0
 * @param index the index of the task in the step, from 0
 */
public record TaskName(String submission, int occurrence, int step, int index) {}
