package org.hickorypier.daemon.work;

/**
 * The limits of the dispatcher, times in milliseconds.
 *
 * <p>Immutable.
 *
 * @param leaseMillis the lease with which tasks start
 * @param retryMillis the first wait before an uncertain order is asked after
 * @param retryDoublings how often that wait doubles at the most
 * @param pollMillis how often tasks are asked after on workers that others control
 */
public record DispatchSettings(
    long leaseMillis, long retryMillis, int retryDoublings, long pollMillis) {}
