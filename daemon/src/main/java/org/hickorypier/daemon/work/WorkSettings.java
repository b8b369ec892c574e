package org.hickorypier.daemon.work;

/**
 * The limits of the work service, times in milliseconds.
 *
 * <p>Immutable.
 *
 * @param retryLimit how often one piece of work is placed again after an attempt that did not start
 *     or was lost
 * @param answerRetentionMillis how long a final answer is kept for a repeated request
 * @param answerCacheBytes how many bytes of final answers are kept at the most
 * @param recentRequestsLimit how many answered or refused requests are remembered at the most
 * @param queueCheckMillis how often waiting work is looked at when nothing else happens
 * @param longestRunMillis how long a synchronous request may run before it is stopped
 */
public record WorkSettings(
    int retryLimit,
    long answerRetentionMillis,
    long answerCacheBytes,
    int recentRequestsLimit,
    long queueCheckMillis,
    long longestRunMillis) {}
