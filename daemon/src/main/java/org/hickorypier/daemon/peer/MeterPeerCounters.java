package org.hickorypier.daemon.peer;

import io.micrometer.core.instrument.MeterRegistry;

/**
 * Counts peer traffic in a Micrometer registry.
 *
 * <p>Thread safe, as the registry is.
 */
public final class MeterPeerCounters implements PeerCounters {

  private static final String KIND = "kind";
  private static final String DIRECTION = "direction";

  private final MeterRegistry registry;

  /**
   * Creates the counters.
   *
   * @param registry where they are kept
   */
  public MeterPeerCounters(MeterRegistry registry) {
    this.registry = registry;
  }

  @Override
  public void sent(String kind, int bytes) {
    count(kind, "sent", bytes);
  }

  @Override
  public void received(String kind, int bytes) {
    count(kind, "received", bytes);
  }

  @Override
  public void dropped(String kind) {
    registry.counter("hickorypier.peer.dropped", KIND, kind).increment();
  }

  private void count(String kind, String direction, int bytes) {
    registry.counter("hickorypier.peer.messages", KIND, kind, DIRECTION, direction).increment();
    registry.counter("hickorypier.peer.bytes", KIND, kind, DIRECTION, direction).increment(bytes);
  }
}
