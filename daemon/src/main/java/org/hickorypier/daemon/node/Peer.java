package org.hickorypier.daemon.node;

import org.hickorypier.daemon.link.Link;
import org.hickorypier.daemon.link.LinkRequest;

/** An instance that has opened a link to this one. Belongs to the control thread. */
final class Peer {

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Link link;
  private int strength;
  private long startedAt;
  private long askedAt = NEVER;

  Peer(Link link) {
    this.link = link;
  }

  Link link() {
    return link;
  }

  void introduced(LinkRequest.Introduce introduce, long nowMillis) {
    strength = introduce.strength();
    startedAt = nowMillis - introduce.ageMillis();
  }

  Successor asSuccessor() {
    return new Successor(this, strength, startedAt);
  }

  /** Takes notice that it is asked to take over. */
  void askedToTakeOver(long nowMillis) {
    askedAt = nowMillis;
  }

  /** Returns how long ago it was last asked to take over, in milliseconds. */
  long sinceAskedMillis(long nowMillis) {
    return nowMillis - askedAt;
  }
}
