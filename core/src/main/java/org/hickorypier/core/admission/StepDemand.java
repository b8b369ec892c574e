package org.hickorypier.core.admission;

/**
 * What one step of a submission needs.
 *
 * <p>Immutable.
 *
 * @param unit what is placed at once
 * @param requires the label that a worker must have, or empty
 * @param tailMillis least time from the start of the step to the end of the submission, in
 *     milliseconds
 * @param runMillis expected run time of a task in milliseconds, at least 1
 * @param coreMillis expected work, in thousandths of a processor times milliseconds
 * @param memoryMillis expected use of memory, in MiB times milliseconds
 */
public record StepDemand(
    WorkUnit unit,
    String requires,
    long tailMillis,
    long runMillis,
    double coreMillis,
    double memoryMillis) {}
