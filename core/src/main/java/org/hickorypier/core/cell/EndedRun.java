package org.hickorypier.core.cell;

/**
 * A run that its worker reports as ended.
 *
 * <p>Immutable.
 *
 * @param number the number of the end, ascending during one incarnation of the worker
 * @param run the key of the run
 * @param how how the run ended
 * @param checkpoint the last checkpoint, or an empty string
 */
public record EndedRun(long number, RunKey run, RunEnd how, String checkpoint) {}
