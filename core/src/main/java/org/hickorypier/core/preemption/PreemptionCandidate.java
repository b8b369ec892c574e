package org.hickorypier.core.preemption;

import org.hickorypier.core.model.Resources;

/**
 * A confirmed run that saves its progress and may be stopped.
 *
 * <p>Immutable.
 *
 * @param run identifies the run
 * @param worker the id of its worker
 * @param customer its customer
 * @param priority the priority of its queue; 0 is the highest
 * @param size the capacity that it occupies
 * @param unsavedMillis how much of its work is lost at most, in milliseconds
 * @param sinceInterruptionMillis time since its task was interrupted last, in milliseconds; {@link
 *     Long#MAX_VALUE} if it never was
 * @param meetsObjective whether its submission still meets its objective if the run is interrupted
 * @param staysUseful false if the interruption would make its submission end too late to be of use
 */
public record PreemptionCandidate(
    String run,
    String worker,
    String customer,
    int priority,
    Resources size,
    long unsavedMillis,
    long sinceInterruptionMillis,
    boolean meetsObjective,
    boolean staysUseful) {}
