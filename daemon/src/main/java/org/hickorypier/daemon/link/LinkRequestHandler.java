package org.hickorypier.daemon.link;

import io.vertx.core.Future;

/** Answers the requests that come over a link. Called on the control thread. */
@FunctionalInterface
public interface LinkRequestHandler {

  /**
   * Answers a request.
   *
   * @param request the request
   * @return the reply; the future never fails
   */
  Future<LinkReply> answer(LinkRequest request);
}
