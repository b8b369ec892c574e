package org.hickorypier.daemon.work;

/**
 * The limits of the work service, times in milliseconds.
 *
 * <p>Immutable.
 *
 * @param retryLimit how often a work item is placed again after an attempt that did not start or
 *     was lost
 * @param answerRetentionMillis how long a final answer is kept for repeated requests
 * @param answerCacheBytes the maximum number of bytes of cached final answers
 * @param recentRequestsLimit the maximum number of tracked answered or refused requests
 * @param queueCheckMillis the interval at which queued work is checked when no other event occurs
 * @param longestRunMillis how long a synchronous request may run before it is stopped
 */
public record WorkSettings(
    int retryLimit,
    long answerRetentionMillis,
    long answerCacheBytes,
    int recentRequestsLimit,
    long queueCheckMillis,
    long longestRunMillis) {}
