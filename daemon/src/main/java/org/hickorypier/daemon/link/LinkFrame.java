package org.hickorypier.daemon.link;

/**
 * A decoded frame, which holds either a request or a reply. Immutable.
 *
 * @param requestNumber the number of the request, which its reply repeats
 * @param request the request, or null
 * @param reply the reply, or null
 */
record LinkFrame(long requestNumber, LinkRequest request, LinkReply reply) {}
