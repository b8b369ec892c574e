package org.hickorypier.measure.delivery;

import java.util.Arrays;

/**
 * How one update got from its source to the others.
 *
 * <p>Filled by one scheme, then only read. Not thread safe.
 */
final class Broadcast {

  private static final int UNREACHED = -1;

  private final int[] hops;
  private final int[] sent;
  private final int[] received;

  Broadcast(int instances, int source) {
    hops = new int[instances];
    Arrays.fill(hops, UNREACHED);
    hops[source] = 0;
    sent = new int[instances];
    received = new int[instances];
  }

  /**
   * Notes one copy from one instance to another.
   *
   * @return whether the receiver did not have the update before
   */
  boolean copy(int from, int to) {
    sent[from]++;
    received[to]++;
    if (hops[to] != UNREACHED) {
      return false;
    }
    hops[to] = hops[from] + 1;
    return true;
  }

  /** Adds another delivery of the same update; the earlier arrival counts. */
  void add(Broadcast other) {
    for (int instance = 0; instance < hops.length; instance++) {
      sent[instance] += other.sent[instance];
      received[instance] += other.received[instance];
      boolean sooner = other.reached(instance) && other.hops[instance] < hops[instance];
      if (!reached(instance) || sooner) {
        hops[instance] = other.hops[instance];
      }
    }
  }

  boolean reached(int instance) {
    return hops[instance] != UNREACHED;
  }

  int mostHops() {
    return Arrays.stream(hops).max().orElse(0);
  }

  int sent(int instance) {
    return sent[instance];
  }

  int received(int instance) {
    return received[instance];
  }
}
