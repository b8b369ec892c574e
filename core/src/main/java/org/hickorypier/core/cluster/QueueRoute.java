package org.hickorypier.core.cluster;

import org.hickorypier.core.submission.QueueTerms;

/**
 * The host and path prefix at which callers reach a queue.
 *
 * <p>Immutable.
 *
 * @param host the host name that callers request
 * @param prefix the path prefix of the queue's requests
 * @param open whether callers need no key
 * @param terms the queue's parameters for scheduling
 */
public record QueueRoute(String host, String prefix, boolean open, QueueTerms terms) {}
