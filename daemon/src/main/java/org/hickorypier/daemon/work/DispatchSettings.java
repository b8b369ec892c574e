package org.hickorypier.daemon.work;

/**
 * The limits of the dispatcher, times in milliseconds.
 *
 * <p>Immutable.
 *
 * @param leaseMillis the lease with which tasks start
 * @param initialRetryMillis the delay before the first retry of a call or a status query
 * @param maxRetryDoublings how often that delay doubles at most
 * @param foreignPollMillis the interval of status queries for tasks on workers that this instance
 *     does not control
 */
public record DispatchSettings(
    long leaseMillis, long initialRetryMillis, int maxRetryDoublings, long foreignPollMillis) {}
