package org.hickorypier.daemon.front;

import io.vertx.core.Future;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;

/** Sends the requests of callers to the owner of the cell. Called on the control thread. */
@FunctionalInterface
public interface OwnerClient {

  /**
   * Sends a request.
   *
   * @param request the request
   * @param timeoutMillis how long the caller waits, in milliseconds
   * @return the reply; {@link LinkReply.NotOwner} if the outcome remains unknown
   */
  Future<LinkReply> sendRequest(LinkRequest request, long timeoutMillis);
}
