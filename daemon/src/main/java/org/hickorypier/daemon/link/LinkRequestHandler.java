package org.hickorypier.daemon.link;

import io.vertx.core.Future;

/** Handles the requests received over a link. Called on the control thread. */
@FunctionalInterface
public interface LinkRequestHandler {

  /**
   * Handles a request.
   *
   * @param request the request
   * @return the reply; the future never fails
   */
  Future<LinkReply> answer(LinkRequest request);
}
