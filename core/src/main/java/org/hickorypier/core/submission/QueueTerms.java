package org.hickorypier.core.submission;

import java.util.Optional;

/**
 * The scheduling settings of one queue.
 *
 * <p>Immutable.
 *
 * @param name the queue's name
 * @param service the service whose workers run its tasks
 * @param priority the priority; 0 is the highest
 * @param maxAttempts number of failed runs of one task that fails its submission
 * @param stretch factor by which the objective multiplies the duration of the critical path
 * @param objectiveMillis constant that is added to the objective, in milliseconds
 * @param advice the timing of the advisor, or empty if the tasks may run on any worker of the
 *     service
 */
public record QueueTerms(
    String name,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long objectiveMillis,
    Optional<AdviceTerms> advice) {}
