package org.hickorypier.core.cell;

/**
 * A run that its worker reports as active.
 *
 * <p>Immutable.
 *
 * @param run the key of the run
 * @param checkpoint the newest checkpoint, or an empty string
 * @param percent the progress, from 0 to 100
 */
public record RunningTask(RunKey run, String checkpoint, int percent) {}
