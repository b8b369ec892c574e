package org.hickorypier.daemon.worker;

/**
 * The lease and renewal times for the control of workers, in milliseconds.
 *
 * <p>Immutable.
 *
 * @param leaseMillis the time that a task may run without a renewal
 * @param renewalMillis the time between two renewals; a lease must span several renewals
 * @param marginMillis the margin after the end of a lease before its tasks are considered ended; it
 *     covers clock drift between two machines and a command in transit
 */
public record WorkerLeaseSettings(long leaseMillis, long renewalMillis, long marginMillis) {}
