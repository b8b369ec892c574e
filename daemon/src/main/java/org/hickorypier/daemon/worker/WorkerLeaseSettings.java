package org.hickorypier.daemon.worker;

/**
 * The times that govern the control of workers, in milliseconds.
 *
 * <p>Immutable.
 *
 * @param leaseMillis how long a task may run without a renewal
 * @param renewalMillis the time between two renewals; several must fit into a lease
 * @param marginMillis what is added to a lease before its tasks are taken for ended, for the
 *     difference in speed of two clocks and for an order that was under way
 */
public record WorkerLeaseSettings(long leaseMillis, long renewalMillis, long marginMillis) {}
