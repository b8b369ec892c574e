package org.hickorypier.daemon.peer;

import io.smallrye.mutiny.Uni;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Answer;
import org.hickorypier.wire.message.PeerMessage.Request;

/** What {@link PeerLink} tells and asks the network around it. */
interface LinkOwner {

  /** Returns how many links stand, to share what digests may cost. */
  int linkCount();

  /** Returns a number that this incarnation has not used for any request yet. */
  long nextCorrelation();

  /** The link stands. */
  void up(PeerIdentity peer);

  /** The link is gone. */
  void down(PeerIdentity peer);

  /** A message came that asks for no answer. */
  void message(PeerIdentity peer, PeerMessage message);

  /** A request came, for the first time. The answer is awaited on the control thread. */
  Uni<? extends Answer> request(PeerIdentity peer, Request request);
}
