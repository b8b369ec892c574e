package org.hickorypier.measure.takeover;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The size of a takeover measurement.
 *
 * <p>Immutable.
 *
 * @param entries how many daemons
 * @param workers how many workers
 * @param perSecond how many requests are posted a second, over three teams
 * @param rounds how often an instance is killed and another paused
 * @param teamLimit the upper limit of each team
 * @param seed draws whom is done what
 * @param leaseMillis the lease of a task on its worker
 * @param logs the directory for the daemons' logs, if they are wanted
 */
public record TakeoverSettings(
    int entries,
    int workers,
    int perSecond,
    int rounds,
    int teamLimit,
    long seed,
    long leaseMillis,
    Optional<Path> logs) {}
