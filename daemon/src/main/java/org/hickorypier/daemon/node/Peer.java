package org.hickorypier.daemon.node;

import org.hickorypier.daemon.link.Link;
import org.hickorypier.daemon.link.LinkRequest;

/** An instance that has opened a link to this one. Confined to the control thread. */
final class Peer {

  private static final long NEVER_ASKED_MILLIS = Long.MIN_VALUE / 2;

  private final Link link;
  private final String address;
  private int strength;
  private long startedAtMillis;
  private int version;
  private long askedAtMillis = NEVER_ASKED_MILLIS;
  private int workMicros = Successor.NO_ANSWER_MICROS;

  Peer(Link link, String address) {
    this.link = link;
    this.address = address;
  }

  Link link() {
    return link;
  }

  String address() {
    return address;
  }

  void recordIntroduction(LinkRequest.Introduce introduce, long nowMillis) {
    strength = introduce.strength();
    version = introduce.version();
    startedAtMillis = nowMillis - introduce.ageMillis();
  }

  /** Returns whether this instance takes requests to relay orders and to stand by. */
  boolean supportsRelays() {
    return version >= LinkRequest.FIRST_VERSION_WITH_RELAYS;
  }

  /** Returns whether this instance can be told what others have read from the store. */
  boolean takesRelayedReads() {
    return version >= LinkRequest.FIRST_VERSION_WITH_RELAYED_READS;
  }

  Successor asSuccessor() {
    return new Successor(this, strength, startedAtMillis, workMicros);
  }

  /** Records how long the benchmark workload takes this instance, in microseconds. */
  void recordMeasurement(int micros) {
    workMicros = micros;
  }

  /** Records that this instance is asked to take over. */
  void recordTakeOverRequest(long nowMillis) {
    askedAtMillis = nowMillis;
  }

  /** Returns the time since this instance was last asked to take over, in milliseconds. */
  long millisSinceTakeOverRequest(long nowMillis) {
    return nowMillis - askedAtMillis;
  }
}
