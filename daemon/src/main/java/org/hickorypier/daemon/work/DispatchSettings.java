package org.hickorypier.daemon.work;

/**
 * The limits of the dispatcher, times in milliseconds.
 *
 * <p>Immutable.
 *
 * @param leaseMillis the lease with which tasks start
 * @param initialRetryMillis the first wait before an uncertain order is asked after
 * @param maxRetryDoublings how often that wait doubles at the most
 * @param foreignPollMillis how often tasks are asked after on workers that others control
 */
public record DispatchSettings(
    long leaseMillis, long initialRetryMillis, int maxRetryDoublings, long foreignPollMillis) {}
