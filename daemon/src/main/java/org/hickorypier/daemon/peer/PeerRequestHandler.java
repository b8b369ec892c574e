package org.hickorypier.daemon.peer;

import io.smallrye.mutiny.Uni;
import org.hickorypier.wire.message.PeerMessage.Answer;
import org.hickorypier.wire.message.PeerMessage.Request;

/** Answers requests of peers. Called on the control thread, once for each request. */
@FunctionalInterface
public interface PeerRequestHandler {

  /**
   * Answers a request.
   *
   * @param peer who asks
   * @param request the request
   * @return the answer, whose correlation is set by the network. A failure is told to the peer as
   *     "may have been taken", unless it is a {@link PeerException} that says otherwise.
   */
  Uni<? extends Answer> handle(PeerIdentity peer, Request request);
}
