package org.hickorypier.daemon.front;

import io.vertx.core.Future;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;

/** Brings a caller's question to the owner. Called on the control thread. */
@FunctionalInterface
public interface OwnerClient {

  /**
   * Asks.
   *
   * @param request the question
   * @param timeoutMillis how long the caller waits, in milliseconds
   * @return the reply; {@link LinkReply.NotOwner} if its outcome is unknown in the end
   */
  Future<LinkReply> sendRequest(LinkRequest request, long timeoutMillis);
}
