package org.hickorypier.daemon.link;

/**
 * One decoded frame.
 *
 * <p>Immutable.
 *
 * @param requestNumber the number of the request, the same in its reply
 * @param request the request, or null
 * @param reply the reply, or null
 */
record LinkFrame(long requestNumber, LinkRequest request, LinkReply reply) {}
