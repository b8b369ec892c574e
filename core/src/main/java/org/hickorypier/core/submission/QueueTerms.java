package org.hickorypier.core.submission;

import java.util.Optional;

/**
 * What the configuration says of one queue, as far as scheduling needs it.
 *
 * <p>Immutable.
 *
 * @param name the queue's name
 * @param service the service whose workers run its tasks
 * @param priority 0 comes first
 * @param maxAttempts how many failed runs of one task make its submission fail
 * @param stretch the factor of the objective over the longest chain of work
 * @param objectiveMillis added to the objective, in milliseconds
 * @param advice the terms of the advisor, or empty if any worker of the service will do
 */
public record QueueTerms(
    String name,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long objectiveMillis,
    Optional<AdviceTerms> advice) {}
